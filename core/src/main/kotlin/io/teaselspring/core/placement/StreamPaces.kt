/*
 * Shortest time that the stream of a request is sure to take, from the streams that this entry has seen on the same
 * upstream: their median pace, and how far their outputs stayed below what their requests had stated. Stated numbers
 * alone prove nothing: a request that states 2,000 tokens often ends after 200.
 */
package io.teaselspring.core.placement

/** A stream that ended whole: [outputTokens], [durationMs] after its first event. */
public data class EndedStream(
    val stated: StatedOutput,
    val outputTokens: Long,
    val durationMs: Long,
)

/** The streams of one upstream. Times are monotonic milliseconds. Not thread-safe. */
public class StreamPaces {
    private val msPerToken = SampleWindow()
    private val outputToEstimate = SampleWindow()
    private val outputToMax = SampleWindow()

    /** Records [stream], which ended at [nowMs]. */
    public fun record(
        stream: EndedStream,
        nowMs: Long,
    ) {
        val tokens = stream.outputTokens.toDouble()
        if (stream.outputTokens >= MIN_OUTPUT_TOKENS) msPerToken.record(stream.durationMs / tokens, nowMs)
        val stated = stream.stated
        stated.estimatedTokens?.takeIf { it > 0 }?.let { outputToEstimate.record(tokens / it, nowMs) }
        stated.maxTokens?.takeIf { it > 0 }?.let { outputToMax.record(tokens / it, nowMs) }
    }

    /** Median time for an output token, or null if too few streams were seen of late. */
    public fun medianMsPerToken(nowMs: Long): Double? = msPerToken.quantile(MEDIAN, nowMs)

    /**
     * Time that the output of a request takes at the median pace if it is as short as hardly any output of a request
     * that had [stated] as much. Null if too few such streams were seen of late to tell.
     */
    public fun leastMs(
        stated: StatedOutput,
        nowMs: Long,
    ): Long? {
        val pace = medianMsPerToken(nowMs) ?: return null
        val byEstimate = stated.estimatedTokens?.let { outputToEstimate.quantile(LEAST, nowMs)?.times(it) }
        val byMax = stated.maxTokens?.let { outputToMax.quantile(LEAST, nowMs)?.times(it) }
        val tokens = listOfNotNull(byEstimate, byMax).maxOrNull() ?: return null
        return (minOf(tokens, stated.maxTokens?.toDouble() ?: tokens) * pace).toLong()
    }

    private companion object {
        const val MEDIAN = 0.5

        /** One output in 50 is shorter than this quantile. */
        const val LEAST = 0.02

        /** The pace of a shorter stream says more about the arrival of its packets. */
        const val MIN_OUTPUT_TOKENS = 32
    }
}

/** The newest samples, at most [SIZE] and none older than [MAX_AGE_MS]. */
private class SampleWindow {
    private val values = DoubleArray(SIZE)
    private val timesMs = LongArray(SIZE)
    private var count = 0L
    private var sorted = DoubleArray(0)
    private var sortedAtMs = Long.MIN_VALUE

    fun record(
        value: Double,
        nowMs: Long,
    ) {
        val index = (count % SIZE).toInt()
        values[index] = value
        timesMs[index] = nowMs
        count += 1
    }

    /** Null with fewer than [MIN_SAMPLES] samples. */
    fun quantile(
        fraction: Double,
        nowMs: Long,
    ): Double? {
        if (sortedAtMs == Long.MIN_VALUE || nowMs - sortedAtMs >= SORT_INTERVAL_MS) {
            val known = minOf(count, SIZE.toLong()).toInt()
            sorted = (0 until known).filter { nowMs - timesMs[it] <= MAX_AGE_MS }.map { values[it] }.toDoubleArray()
            sorted.sort()
            sortedAtMs = nowMs
        }
        return if (sorted.size < MIN_SAMPLES) null else sorted[(sorted.size * fraction).toInt()]
    }

    private companion object {
        const val SIZE = 512
        const val MIN_SAMPLES = 100
        const val MAX_AGE_MS = 120_000L

        /** Every arriving request asks for quantiles. */
        const val SORT_INTERVAL_MS = 200L
    }
}
