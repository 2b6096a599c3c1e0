/*
 * How long work lastingly takes on an instance, from the work times that it states. A stated work time is that of the
 * moment: other work on the machine makes it longer for some hundred milliseconds. The lasting one is the lowest that
 * is stated again and again, and the same at every entry.
 */
package io.teaselspring.core.placement

/** The lasting work time of one instance. Times are monotonic milliseconds. Not thread-safe. */
public class WorkTime {
    /** In percent of the usual time; null until the instance has stated one. */
    public var lastingPct: Int? = null
        private set

    /** The statements since the last one that was no longer than the lasting work time. */
    private var longerCount = 0
    private var longerSinceMs = 0L
    private var shortestLongerPct = 0

    /** Lasting speed, 1.0 on a machine where work takes the usual time or while that is unknown. */
    public val speed: Double
        get() = lastingPct?.let { (USUAL_PCT / it).coerceIn(MIN_SPEED, MAX_SPEED) } ?: 1.0

    /** Records the work time [pct] that the instance stated at [nowMs]. */
    public fun record(
        pct: Int,
        nowMs: Long,
    ) {
        val lasting = lastingPct
        if (lasting == null || pct <= lasting) {
            lastingPct = pct
            longerCount = 0
            return
        }
        if (longerCount == 0) {
            longerSinceMs = nowMs
            shortestLongerPct = pct
        }
        longerCount += 1
        shortestLongerPct = minOf(shortestLongerPct, pct)
        if (longerCount >= MIN_LONGER_COUNT && nowMs - longerSinceMs >= MIN_LONGER_MS) {
            lastingPct = shortestLongerPct
            longerCount = 0
        }
    }

    private companion object {
        const val USUAL_PCT = 100.0
        const val MIN_SPEED = 0.25
        const val MAX_SPEED = 4.0

        /** A momentary slowdown lasts about 600 ms; one that outlasts these bounds is lasting. */
        const val MIN_LONGER_COUNT = 8
        const val MIN_LONGER_MS = 3_000L
    }
}
