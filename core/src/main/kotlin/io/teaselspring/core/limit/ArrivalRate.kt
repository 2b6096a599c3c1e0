/*
 * Rate of the requests that arrive at one entry, as an exponentially decaying average.
 */
package io.teaselspring.core.limit

import kotlin.math.exp

/** The rate of arrivals over the last few seconds. Times are monotonic milliseconds. Not thread-safe. */
public class ArrivalRate {
    private var perSecond = 0.0
    private var lastMs = Long.MIN_VALUE / 2

    /** Records an arrival at [nowMs]. */
    public fun record(nowMs: Long) {
        perSecond = perSecondAt(nowMs) + MS_PER_S / DECAY_MS
        lastMs = nowMs
    }

    /** Arrivals a second at [nowMs]. */
    public fun perSecondAt(nowMs: Long): Double = perSecond * exp((lastMs - nowMs) / DECAY_MS)

    /** Time since the last arrival. */
    public fun idleMs(nowMs: Long): Long = nowMs - lastMs

    private companion object {
        const val DECAY_MS = 4_000.0
        const val MS_PER_S = 1_000.0
    }
}
