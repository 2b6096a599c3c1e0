/*
 * Credit of starts for the lowest waiting classes. Strict tiers alone would starve them while a higher tier fills the
 * upstream; the credit is spent only when no queued request of a higher tier is hurt by one start more.
 */
package io.teaselspring.core.admission

/** Earns [sharePct] of a start with every start of a higher tier while a lower class waits. */
internal class FloorCredit(
    private val sharePct: Int,
) {
    private var credit = 0.0

    /** Records the start of a request of [tier] while the lowest tier with queued work was [lowestWaiting]. */
    fun started(
        tier: Int,
        lowestWaiting: Int?,
    ) {
        if (lowestWaiting != null && lowestWaiting > tier) credit = minOf(MAX_CREDIT, credit + sharePct / 100.0)
    }

    /** The tier whose turn it is by credit instead of [highestWaiting], or null. */
    fun tierByCredit(
        classes: ClassShares,
        prediction: WaitPrediction,
        freeSlots: Int,
        nowMs: Long,
    ): Int? {
        if (credit < 1.0) return null
        val lowest = classes.lowestWaitingTier()
        return lowest?.takeIf {
            it != classes.highestWaitingTier() &&
                !hurts(
                    classes,
                    prediction,
                    it,
                    freeSlots,
                    nowMs,
                )
        }
    }

    fun spend() {
        credit -= 1.0
    }

    /** Whether a start of [tier] now would make a queued request of a higher tier that is in time late. */
    private fun hurts(
        classes: ClassShares,
        prediction: WaitPrediction,
        tier: Int,
        freeSlots: Int,
        nowMs: Long,
    ): Boolean {
        var ahead = 1 - freeSlots
        for ((other, shares) in classes.tiers.headMap(tier)) {
            val perStartMs = 1 / prediction.releaseRate(other, freeSlots, nowMs)
            for (share in shares) {
                if (share.isHurt(ahead, perStartMs, nowMs)) return true
                ahead += share.queued
            }
        }
        return false
    }

    private fun ClassShare.isHurt(
        startsAhead: Int,
        perStartMs: Double,
        nowMs: Long,
    ): Boolean {
        val firstTokenMs = times.firstTokenMs(nowMs)
        var ahead = startsAhead
        return fresh.any { attempt ->
            ahead += 1
            val slackMs = attempt.request.firstTokenDeadlineMs - nowMs - firstTokenMs
            // One that misses its target even without the additional start is not made late by it.
            slackMs in maxOf(0, ahead - 1) * perStartMs..<maxOf(0, ahead) * perStartMs
        }
    }

    private companion object {
        const val MAX_CREDIT = 2.0
    }
}
