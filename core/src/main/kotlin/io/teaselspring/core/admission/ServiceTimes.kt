/*
 * What an agent has learned about the requests of one class: how long they occupy the upstream, how many tokens they
 * produce and how long the first one takes.
 */
package io.teaselspring.core.admission

/** Averages of one class on one upstream, with exponentially falling weights per observation. */
internal class ServiceTimes {
    private var serviceMs: Double? = null
    private var firstTokenMs: Double? = null
    private var firstTokenAtMs = 0L
    private var runningCount = 0
    private var startedAtSumMs = 0.0

    /** Average number of tokens of a request, at least 1. */
    var tokens = 1.0
        private set

    fun started(nowMs: Long) {
        runningCount += 1
        startedAtSumMs += nowMs
    }

    fun firstToken(
        afterMs: Long,
        nowMs: Long,
    ) {
        firstTokenMs = average(firstTokenMs, afterMs.toDouble())
        firstTokenAtMs = nowMs
    }

    fun ended(
        attempt: Attempt,
        nowMs: Long,
        completed: Boolean,
    ) {
        runningCount -= 1
        startedAtSumMs -= attempt.startedAtMs
        if (!completed) return
        serviceMs = average(serviceMs, attempt.runningMs.toDouble())
        tokens = maxOf(1.0, average(tokens, attempt.producedTokens.toDouble()))
        if (attempt.producedTokens == 0L) firstToken(nowMs - attempt.startedAtMs, nowMs)
    }

    /**
     * Expected time that one request occupies the upstream. The mean age of what runs is a lower bound, so a stalled
     * upstream is noticed before anything has ended.
     */
    fun serviceMs(nowMs: Long): Double {
        val age = if (runningCount == 0) 0.0 else nowMs - startedAtSumMs / runningCount
        return maxOf(serviceMs ?: DEFAULT_SERVICE_MS, age, 1.0)
    }

    /**
     * Expected time from start to first token. It halves every [FIRST_TOKEN_HALF_LIFE_MS] without an observation, so
     * that an upstream that refuses because of an old bad value is tried again.
     */
    fun firstTokenMs(nowMs: Long): Double {
        val known = firstTokenMs ?: return 0.0
        val idle = maxOf(0L, nowMs - firstTokenAtMs - FIRST_TOKEN_HALF_LIFE_MS)
        return if (idle == 0L) known else known * Math.pow(0.5, idle.toDouble() / FIRST_TOKEN_HALF_LIFE_MS)
    }

    private fun average(
        old: Double?,
        new: Double,
    ) = if (old == null) new else old + (new - old) * ALPHA

    private companion object {
        const val ALPHA = 0.1
        const val DEFAULT_SERVICE_MS = 500.0
        const val FIRST_TOKEN_HALF_LIFE_MS = 5000L
    }
}
