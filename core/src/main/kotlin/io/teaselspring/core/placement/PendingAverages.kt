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
    private var lastAgeMs = 0L
    private var lastEntries = 1
    private var lastWeight = 1.0

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
        val weight = weightOf(nowMs - average.updatedAtMs, entries)
        average.tokens = average.tokens * weight + pendingTokens * (1 - weight)
        average.updatedAtMs = nowMs
        return average.tokens
    }

    /** Most instances were updated at the same time, so the last result is the next one as well. */
    private fun weightOf(
        ageMs: Long,
        entries: Int,
    ): Double {
        if (ageMs != lastAgeMs || entries != lastEntries) {
            lastAgeMs = ageMs
            lastEntries = entries
            lastWeight = exp(-ageMs / (DECAY_MS_PER_ENTRY * entries))
        }
        return lastWeight
    }

    private companion object {
        /** The more entries, the fewer requests each has, and the longer it takes to see some of them. */
        const val DECAY_MS_PER_ENTRY = 30.0
    }
}
