/*
 * Retry-after of a refused request: the shortest wait that any agent predicted for it.
 */
package io.teaselspring.core.dispatch

import io.teaselspring.core.InstanceId

/** Keeps the latest predicted wait of each agent that refused for lack of capacity. */
internal class RetryAfter {
    private val predictedFreeAtMs = HashMap<InstanceId, Long>()

    /** Whether any agent refused for lack of capacity. */
    val hasBusyAgent: Boolean get() = predictedFreeAtMs.isNotEmpty()

    fun record(
        agent: InstanceId,
        event: DispatchEvent.NotRun,
        nowMs: Long,
    ) {
        val lacksCapacity = event.reason == NotRunCause.BUSY || event.reason == NotRunCause.DISPLACED
        // The retry-after of other refusals is not a prediction of capacity.
        if (lacksCapacity) predictedFreeAtMs[agent] = nowMs + maxOf(0L, event.retryAfterMs)
    }

    /** The shortest remaining wait at [nowMs], or a default if no agent refused for lack of capacity. */
    fun shortestMs(nowMs: Long): Long =
        predictedFreeAtMs.values.minOrNull()?.let { maxOf(0L, it - nowMs) } ?: DEFAULT_RETRY_AFTER_MS

    private companion object {
        const val DEFAULT_RETRY_AFTER_MS = 1000L
    }
}
