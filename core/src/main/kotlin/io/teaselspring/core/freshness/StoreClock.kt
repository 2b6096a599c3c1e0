/*
 * The store's steady clock as a process knows it from the store's responses. All processes can compare its times.
 */
package io.teaselspring.core.freshness

import io.teaselspring.core.lease.ClockReading

/**
 * Estimates the store's clock between its responses. A response makes the time certain if it came within [promptMs]:
 * only then it cannot have waited for long in a process that stood still. Not thread-safe.
 */
public class StoreClock(
    private val promptMs: Long = 300,
) {
    private data class Heard(
        val storeMs: Long,
        val at: ClockReading,
    ) {
        fun nowMs(now: ClockReading) = storeMs + now.monotonicMs - at.monotonicMs

        fun isOld(now: ClockReading) = now.monotonicMs - at.monotonicMs > KEPT_MS
    }

    private var best: Heard? = null
    private var lastPrompt: Heard? = null

    /**
     * The response to a question of [askedAt] bears the store's time [storeMs] and arrived at [at]. One that was under
     * way during a suspension says nothing, as nobody knows for how long.
     */
    public fun observe(
        storeMs: Long,
        askedAt: ClockReading,
        at: ClockReading,
    ) {
        if (!askedAt.isConsistentWith(at, JUMP_MS)) return
        val next = Heard(storeMs, at)
        val last = best
        val isPrompt = at.monotonicMs - askedAt.monotonicMs <= promptMs
        if (isPrompt) lastPrompt = next
        // The response that was under way for the shortest time is the best, until the clocks may have drifted apart.
        val isBetter =
            last == null ||
                storeMs >= last.nowMs(at) ||
                !last.at.isConsistentWith(at, JUMP_MS) ||
                (isPrompt && last.isOld(at))
        if (isBetter) best = next
    }

    /** The store's time at [now], at most as late as a response was under way; later still after a suspension. */
    public fun nowMs(now: ClockReading): Long? = best?.nowMs(now)

    /** The store's time at [now], at most [promptMs] late, or null while that is not certain. */
    public fun certainNowMs(now: ClockReading): Long? =
        lastPrompt?.takeIf { it.at.isConsistentWith(now, JUMP_MS) && !it.isOld(now) }?.nowMs(now)

    private companion object {
        /** Clocks that differ by one part in a thousand have drifted by 10 ms then. */
        const val KEPT_MS = 10_000L
    }
}
