/*
 * The time after which a refused caller may try again: the shortest wait that an agent predicted for the request.
 */
package io.teaselspring.core.dispatch

import io.teaselspring.core.InstanceId

/** Collects the latest predicted wait of each agent that refused for lack of capacity. */
internal class RetryAfter {
    private val freeAtMs = HashMap<InstanceId, Long>()

    /** Whether some agent refused for lack of capacity. */
    val busy: Boolean get() = freeAtMs.isNotEmpty()

    fun refused(
        agent: InstanceId,
        event: DispatchEvent.NotRun,
        nowMs: Long,
    ) {
        val capacity = event.reason == NotRunCause.BUSY || event.reason == NotRunCause.DISPLACED
        // Waits named in other refusals say nothing about capacity.
        if (capacity) freeAtMs[agent] = nowMs + maxOf(0L, event.retryAfterMs)
    }

    /** The shortest wait left at [nowMs], never negative. */
    fun shortestMs(nowMs: Long): Long = freeAtMs.values.minOrNull()?.let { maxOf(0L, it - nowMs) } ?: DEFAULT_MS

    private companion object {
        const val DEFAULT_MS = 1000L
    }
}
