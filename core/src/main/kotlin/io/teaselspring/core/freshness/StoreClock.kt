/*
 * The store's steady clock as a process knows it from the store's answers. All processes can compare its times.
 */
package io.teaselspring.core.freshness

import io.teaselspring.core.lease.ClockReading

/** Estimates the store's clock between its answers. Not thread-safe. */
public class StoreClock {
    private data class Heard(
        val storeMs: Long,
        val at: ClockReading,
    ) {
        val difference get() = storeMs - at.monotonicMs
    }

    private var best: Heard? = null

    /**
     * The answer to a question of [askedAt] bears the store's time [storeMs] and arrived at [at]. One that was under
     * way during a suspension says nothing, as nobody knows for how long.
     */
    public fun heard(
        storeMs: Long,
        askedAt: ClockReading,
        at: ClockReading,
    ) {
        if (!askedAt.agreesWith(at, JUMP_MS)) return
        val next = Heard(storeMs, at)
        val last = best
        // The answer that was under way for the shortest time is the best, until the clocks may have drifted apart.
        val isBetter =
            last == null ||
                next.difference >= last.difference ||
                at.monotonicMs - last.at.monotonicMs > KEPT_MS ||
                !last.at.agreesWith(at, JUMP_MS)
        if (isBetter) best = next
    }

    /** The store's time at [now], at most as late as an answer was under way; later still after a suspension. */
    public fun nowMs(now: ClockReading): Long? = best?.let { it.difference + now.monotonicMs }

    /** As [nowMs], but null from a suspension or a jump of a clock until the next answer. */
    public fun certainNowMs(now: ClockReading): Long? =
        nowMs(now)?.takeIf { best?.at?.agreesWith(now, JUMP_MS) == true }

    private companion object {
        /** Clocks that differ by one part in a thousand have drifted by 10 ms then. */
        const val KEPT_MS = 10_000L
    }
}
