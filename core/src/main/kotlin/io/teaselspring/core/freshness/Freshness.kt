/*
 * How old the knowledge of a process may be. A confirmed read shows that what it returned was the newest at the
 * moment at which the question was sent. The age is counted on the monotonic clock from that moment. That clock
 * stands still while a machine is suspended, so an age is unknown as soon as the wall clock shows a gap against it.
 */
package io.teaselspring.core.freshness

import io.teaselspring.core.lease.ClockReading
import kotlin.math.abs

/** Bound on the age of what a process knows. Not thread-safe. */
public class Freshness(
    private val jumpMs: Long = JUMP_MS,
) {
    private var provedAt: ClockReading? = null

    /** A read that was sent at [askedAt] has returned the newest state. An older proof never replaces a newer one. */
    public fun confirmed(
        askedAt: ClockReading,
        now: ClockReading,
    ) {
        if (!askedAt.isConsistentWith(now, jumpMs)) return
        val last = provedAt?.takeIf { it.isConsistentWith(now, jumpMs) }
        if (last == null || askedAt.monotonicMs > last.monotonicMs) provedAt = askedAt
    }

    /** The greatest age that the knowledge can have at [now], in milliseconds, or null if nothing is shown. */
    public fun ageMs(now: ClockReading): Long? =
        provedAt?.takeIf { it.isConsistentWith(now, jumpMs) }?.let { now.monotonicMs - it.monotonicMs }
}

/** Suspensions shorter than this add less than the margin that callers leave. */
internal const val JUMP_MS = 250L

/** Whether both clocks have advanced alike between the two readings, up to [jumpMs]. */
internal fun ClockReading.isConsistentWith(
    other: ClockReading,
    jumpMs: Long,
): Boolean = abs((other.wallMs - wallMs) - (other.monotonicMs - monotonicMs)) <= jumpMs
