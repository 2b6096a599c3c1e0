/*
 * Adaptive concurrency limit (AIMD) for the batch of one upstream. A larger batch raises the total throughput but slows
 * each stream, so the limit increases while the between-tokens targets are met and decreases multiplicatively when they
 * are missed.
 */
package io.teaselspring.core.admission

/** A concurrency limit between 1 and [maximum], adjusted by the token intervals of the running requests. */
internal class BatchLimit(
    private val maximum: Int,
) {
    private var observedIntervals = 0
    private var latencyRatioSum = 0.0
    private var windowStartMs = 0L

    /** The largest batch that has met the targets since they were last missed. */
    private var largestCompliantBatch = 0

    var value: Int = maximum
        private set

    /** Adds [count] intervals with the mean [intervalMs], and adjusts the limit at the end of a window. */
    fun observe(
        intervalMs: Double,
        targetMs: Long?,
        count: Int,
        batchSize: Int,
        nowMs: Long,
    ) {
        if (targetMs == null) return
        observedIntervals += count
        latencyRatioSum += count * intervalMs / targetMs
        if (nowMs - windowStartMs >= WINDOW_MS && observedIntervals >= MIN_OBSERVED_INTERVALS) adjust(batchSize, nowMs)
    }

    private fun adjust(
        batchSize: Int,
        nowMs: Long,
    ) {
        val latencyRatio = latencyRatioSum / observedIntervals
        if (latencyRatio > DECREASE_ABOVE_RATIO) {
            // While the batch is above the limit, the intervals still reflect the previous limit.
            val factor = maxOf(MIN_DECREASE_FACTOR, DECREASE_ABOVE_RATIO / latencyRatio)
            if (batchSize <= value) value = maxOf(1, (value * factor).toInt())
            largestCompliantBatch = minOf(largestCompliantBatch, value)
        } else {
            largestCompliantBatch = maxOf(largestCompliantBatch, batchSize)
            // Intervals grow at most in proportion to the batch, so this many streams meet the target.
            val predicted = (batchSize * INCREASE_BELOW_RATIO / latencyRatio).toInt() + INCREMENT
            value =
                if (latencyRatio < INCREASE_BELOW_RATIO) {
                    minOf(maximum, maxOf(largestCompliantBatch, predicted))
                } else {
                    minOf(value, largestCompliantBatch)
                }
        }
        observedIntervals = 0
        latencyRatioSum = 0.0
        windowStartMs = nowMs
    }

    private companion object {
        const val WINDOW_MS = 500L
        const val MIN_OBSERVED_INTERVALS = 8
        const val INCREMENT = 1
        const val MIN_DECREASE_FACTOR = 0.5

        /** Most streams meet their target on average if the mean over all streams is at most this part of it. */
        const val DECREASE_ABOVE_RATIO = 0.9
        const val INCREASE_BELOW_RATIO = 0.85
    }
}
