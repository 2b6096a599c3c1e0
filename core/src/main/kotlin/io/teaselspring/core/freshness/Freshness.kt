/*
 * Bounded staleness: an upper bound on the age of the state that a process holds. A successful read proves that the
 * state it returned was the newest when the read was sent, so the age is counted from then, on the monotonic clock.
 * That clock stops while the machine is suspended, so the age is unknown once the wall clock and the monotonic clock
 * have advanced by different amounts.
 */
package io.teaselspring.core.freshness

import io.teaselspring.core.lease.ClockReading
import kotlin.math.abs

/** The upper bound on the age of one piece of state. Not thread-safe. */
public class Freshness(
    private val maxDivergenceMs: Long = MAX_CLOCK_DIVERGENCE_MS,
) {
    private var confirmedAt: ClockReading? = null

    /**
     * Records at [now] that a read sent at [sentAt] returned the newest state. A read that was sent earlier than the
     * one already recorded is ignored, as is one during which a clock jumped.
     */
    public fun recordRead(
        sentAt: ClockReading,
        now: ClockReading,
    ) {
        if (!sentAt.isConsistentWith(now, maxDivergenceMs)) return
        val last = confirmedAt?.takeIf { it.isConsistentWith(now, maxDivergenceMs) }
        if (last == null || sentAt.monotonicMs > last.monotonicMs) confirmedAt = sentAt
    }

    /** The greatest age that the state can have at [now], in milliseconds, or null if it is unknown. */
    public fun ageMs(now: ClockReading): Long? =
        confirmedAt?.takeIf { it.isConsistentWith(now, maxDivergenceMs) }?.let { now.monotonicMs - it.monotonicMs }
}

/** Shorter suspensions add less to the age than the margin that callers leave. */
internal const val MAX_CLOCK_DIVERGENCE_MS = 250L

/** Whether the advances of the two clocks between this reading and [other] differ by at most [maxDivergenceMs]. */
internal fun ClockReading.isConsistentWith(
    other: ClockReading,
    maxDivergenceMs: Long,
): Boolean = abs((other.wallMs - wallMs) - (other.monotonicMs - monotonicMs)) <= maxDivergenceMs
