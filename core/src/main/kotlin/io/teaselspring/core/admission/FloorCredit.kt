/*
 * Credit scheduling of a minimum share of starts for the lowest waiting tier, which strict priority alone would starve
 * while a higher tier saturates the upstream. Credit is spent only if the additional start makes no queued request of a
 * higher tier miss its first-token deadline.
 */
package io.teaselspring.core.admission

/** Earns [sharePct] of a start with every start of a higher tier while a lower class waits. */
internal class FloorCredit(
    private val sharePct: Int,
) {
    private var credit = 0.0

    /** Adds credit for the start of a request of [tier] if [lowestWaiting], the lowest waiting tier, is below it. */
    fun earn(
        tier: Int,
        lowestWaiting: Int?,
    ) {
        if (lowestWaiting != null && lowestWaiting > tier) credit = minOf(MAX_CREDIT, credit + sharePct / 100.0)
    }

    /** The lowest waiting tier if credit lets it start before the highest waiting one, or null. */
    fun tierByCredit(
        classes: ClassStates,
        prediction: WaitPrediction,
        freeSlots: Int,
        nowMs: Long,
    ): Int? {
        if (credit < 1.0) return null
        val lowest = classes.lowestWaitingTier()
        return lowest?.takeIf {
            it != classes.highestWaitingTier() &&
                !wouldMakeHigherTierLate(classes, prediction, it, freeSlots, nowMs)
        }
    }

    fun spend() {
        credit -= 1.0
    }

    /** Whether a start of [tier] now would make a queued request of a higher tier miss a deadline that it now meets. */
    private fun wouldMakeHigherTierLate(
        classes: ClassStates,
        prediction: WaitPrediction,
        tier: Int,
        freeSlots: Int,
        nowMs: Long,
    ): Boolean {
        var ahead = 1 - freeSlots
        for ((other, states) in classes.tiers.headMap(tier)) {
            val perStartMs = 1 / prediction.releaseRate(other, freeSlots, nowMs)
            for (state in states) {
                if (state.wouldMissDeadline(ahead, perStartMs, nowMs)) return true
                ahead += state.queued
            }
        }
        return false
    }

    private fun ClassState.wouldMissDeadline(
        startsAhead: Int,
        perStartMs: Double,
        nowMs: Long,
    ): Boolean {
        val firstTokenMs = times.firstTokenMs(nowMs)
        var ahead = startsAhead
        return neverStarted.any { attempt ->
            ahead += 1
            val slackMs = attempt.request.firstTokenDeadlineMs - nowMs - firstTokenMs
            // A request that misses its deadline even without the additional start is not counted.
            slackMs in maxOf(0, ahead - 1) * perStartMs..<maxOf(0, ahead) * perStartMs
        }
    }

    private companion object {
        const val MAX_CREDIT = 2.0
    }
}
