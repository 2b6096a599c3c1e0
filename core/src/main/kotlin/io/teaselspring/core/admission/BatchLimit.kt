/*
 * The batch limit of one upstream. A larger batch produces more tokens in all but slows each stream, so the limit grows
 * by one while the between-tokens targets hold and shrinks by a fixed factor when they do not.
 */
package io.teaselspring.core.admission

/** Additive increase and multiplicative decrease between 1 and [maximum], from the token intervals of what runs. */
internal class BatchLimit(
    private val maximum: Int,
) {
    private var observed = 0
    private var ratioSum = 0.0
    private var windowStartMs = 0L

    var value: Int = maximum
        private set

    /** Adds [count] intervals of [intervalMs] on average, and adjusts the limit once a window is complete. */
    fun observe(
        intervalMs: Double,
        targetMs: Long?,
        count: Int,
        occupied: Int,
        nowMs: Long,
    ) {
        if (targetMs == null) return
        observed += count
        ratioSum += count * intervalMs / targetMs
        if (nowMs - windowStartMs >= WINDOW_MS && observed >= MIN_OBSERVED) adjust(occupied, nowMs)
    }

    private fun adjust(
        occupied: Int,
        nowMs: Long,
    ) {
        val ratio = ratioSum / observed
        if (ratio > DECREASE_ABOVE) {
            // A batch that is still above the limit shows the effect of the old limit, not of the current one.
            if (occupied <= value) value = maxOf(1, value * DECREASE_PCT / 100)
        } else if (ratio < INCREASE_BELOW && occupied >= value) {
            value = minOf(maximum, value + 1)
        }
        observed = 0
        ratioSum = 0.0
        windowStartMs = nowMs
    }

    private companion object {
        const val WINDOW_MS = 500L
        const val MIN_OBSERVED = 8
        const val DECREASE_PCT = 90

        /** Most streams meet a target on average over the stream if the average of all stays this far below it. */
        const val DECREASE_ABOVE = 0.95
        const val INCREASE_BELOW = 0.9
    }
}
