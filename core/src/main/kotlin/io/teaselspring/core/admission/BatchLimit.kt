/*
 * The batch limit of one upstream. A larger batch produces more tokens in all but slows each stream, so the limit
 * grows while the between-tokens targets hold and shrinks by a factor when they do not.
 */
package io.teaselspring.core.admission

/** Increase and multiplicative decrease between 1 and [maximum], from the token intervals of what runs. */
internal class BatchLimit(
    private val maximum: Int,
) {
    private var observed = 0
    private var ratioSum = 0.0
    private var windowStartMs = 0L

    /** The largest batch that has held the targets since they were last missed. */
    private var proven = 0

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
            if (occupied <= value) value = maxOf(1, (value * maxOf(MIN_FACTOR, DECREASE_ABOVE / ratio)).toInt())
            proven = minOf(proven, value)
        } else {
            proven = maxOf(proven, occupied)
            // Intervals grow at most in proportion to the batch, so this many streams hold the target.
            val safe = (occupied * INCREASE_BELOW / ratio).toInt() + INCREMENT
            value = if (ratio < INCREASE_BELOW) minOf(maximum, maxOf(proven, safe)) else minOf(value, proven)
        }
        observed = 0
        ratioSum = 0.0
        windowStartMs = nowMs
    }

    private companion object {
        const val WINDOW_MS = 500L
        const val MIN_OBSERVED = 8
        const val INCREMENT = 1
        const val MIN_FACTOR = 0.5

        /** Most streams meet a target on average over the stream if the average of all stays this far below it. */
        const val DECREASE_ABOVE = 0.9
        const val INCREASE_BELOW = 0.85
    }
}
