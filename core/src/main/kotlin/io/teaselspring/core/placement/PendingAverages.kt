/*
 * Averages of the pending prefill tokens that an entry has on each instance. The other entries get a like share of the
 * requests, so their pending tokens are estimated by this entry's averages; its present values say little about theirs.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.InstanceId
import kotlin.math.exp

/** Exponentially weighted moving averages by instance. */
internal class PendingAverages {
    private class Average(
        var tokens: Double,
        var updatedAtMs: Long,
    )

    private val averages = HashMap<InstanceId, Average>()

    /** Number of instances with an average. */
    val size: Int get() = averages.size

    /** Removes all instances but [ids]. */
    fun retain(ids: Set<InstanceId>) {
        averages.keys.retainAll(ids)
    }

    /**
     * Adds the present value [pendingTokens] of the instance [id] at [nowMs] and returns the average. This entry is one
     * of [entries].
     */
    fun update(
        id: InstanceId,
        pendingTokens: Long,
        entries: Int,
        nowMs: Long,
    ): Double {
        val average = averages.getOrPut(id) { Average(0.0, nowMs) }
        val weight = exp((average.updatedAtMs - nowMs) / (DECAY_MS_PER_ENTRY * entries))
        average.tokens = average.tokens * weight + pendingTokens * (1 - weight)
        average.updatedAtMs = nowMs
        return average.tokens
    }

    private companion object {
        /** The more entries, the fewer requests each has, and the longer it takes to see some of them. */
        const val DECAY_MS_PER_ENTRY = 30.0
    }
}
