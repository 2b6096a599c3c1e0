/*
 * Moving averages of the requests of one class on one agent: service time, tokens per request and time to first token
 * (TTFT).
 */
package io.teaselspring.core.admission

/** Exponentially weighted moving averages (EWMA) of one class on one upstream. */
internal class ServiceTimes {
    private var serviceMs: Double? = null
    private var firstTokenMs: Double? = null
    private var firstTokenObservedAtMs = 0L
    private var runningCount = 0
    private var startedAtSumMs = 0.0

    /** Average number of tokens of a request, at least 1. */
    var meanTokens = 1.0
        private set

    fun recordStart(nowMs: Long) {
        runningCount += 1
        startedAtSumMs += nowMs
    }

    fun recordFirstToken(
        afterMs: Long,
        nowMs: Long,
    ) {
        firstTokenMs = ewma(firstTokenMs, afterMs.toDouble())
        firstTokenObservedAtMs = nowMs
    }

    fun recordEnd(
        attempt: Attempt,
        nowMs: Long,
        completed: Boolean,
    ) {
        runningCount -= 1
        startedAtSumMs -= attempt.startedAtMs
        if (!completed) return
        serviceMs = ewma(serviceMs, attempt.runningMs.toDouble())
        meanTokens = maxOf(1.0, ewma(meanTokens, attempt.producedTokens.toDouble()))
        if (attempt.producedTokens == 0L) recordFirstToken(nowMs - attempt.startedAtMs, nowMs)
    }

    /**
     * Expected time that one request occupies the upstream. The mean age of the running requests is a lower bound, so
     * that a stalled upstream is detected before any request has ended.
     */
    fun serviceMs(nowMs: Long): Double {
        val age = if (runningCount == 0) 0.0 else nowMs - startedAtSumMs / runningCount
        return maxOf(serviceMs ?: DEFAULT_SERVICE_MS, age, 1.0)
    }

    /**
     * Expected time from start to first token. It halves every [FIRST_TOKEN_HALF_LIFE_MS] without an observation, so
     * that an upstream whose last observation was slow does not refuse requests indefinitely.
     */
    fun firstTokenMs(nowMs: Long): Double {
        val observed = firstTokenMs ?: return 0.0
        val decayMs = maxOf(0L, nowMs - firstTokenObservedAtMs - FIRST_TOKEN_HALF_LIFE_MS)
        return if (decayMs == 0L) observed else observed * Math.pow(0.5, decayMs.toDouble() / FIRST_TOKEN_HALF_LIFE_MS)
    }

    private fun ewma(
        old: Double?,
        new: Double,
    ) = if (old == null) new else old + (new - old) * EWMA_WEIGHT

    private companion object {
        const val EWMA_WEIGHT = 0.1
        const val DEFAULT_SERVICE_MS = 500.0
        const val FIRST_TOKEN_HALF_LIFE_MS = 5000L
    }
}
