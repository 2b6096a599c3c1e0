/*
 * Predicted wait of a request on one agent. The slots of the batch become free at a rate that follows from what runs
 * and how long such requests have taken; the wait is the number of starts ahead of the request divided by the part of
 * that rate that its tier gets.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.fairness.TokenCounter
import kotlin.math.ceil
import kotlin.math.sqrt

/** A predicted wait: [releases] slots must become free, which takes [meanMs] on average until the start. */
internal data class Wait(
    val releases: Int,
    val meanMs: Double,
    val cautiousMs: Double,
)

internal class WaitPrediction(
    private val classes: ClassShares,
    private val floorSharePct: Int,
) {
    /** Wait of the next request of [share] for [request]'s organisation with [freeSlots] slots free, maybe negative. */
    fun waitOf(
        request: OfferedRequest,
        share: ClassShare,
        freeSlots: Int,
        nowMs: Long,
    ): Wait = waitBehind(startsAhead(request, share), share.tier, freeSlots, nowMs)

    /** Wait of a request of [tier] that is started after [ahead] other requests. */
    fun waitBehind(
        ahead: Int,
        tier: Int,
        freeSlots: Int,
        nowMs: Long,
    ): Wait {
        val releases = maxOf(0, ahead + 1 - freeSlots)
        if (releases == 0) return Wait(0, 0.0, 0.0)
        val rate = releaseRate(tier, freeSlots, nowMs)
        val cautious = releases + QUANTILE * sqrt(releases.toDouble()) + (QUANTILE * QUANTILE - 1) / 3
        return Wait(releases, releases / rate, cautious / rate)
    }

    /**
     * Slots per millisecond that become free for [tier] once [freeSlots] are taken: what higher tiers release is taken
     * by their next requests, and waiting lower classes get their floor share.
     */
    fun releaseRate(
        tier: Int,
        freeSlots: Int,
        nowMs: Long,
    ): Double {
        var running = 0
        var total = 0.0
        var usable = 0.0
        var lowerWaits = false
        for ((otherTier, shares) in classes.tiers) {
            for (share in shares) {
                val rate = share.running / share.times.serviceMs(nowMs)
                running += share.running
                total += rate
                if (otherTier >= tier) usable += rate
                if (otherTier > tier && share.queued > 0) lowerWaits = true
            }
        }
        val floor = total * floorSharePct / 100
        if (lowerWaits) usable -= floor
        val whenFull = if (running == 0) 1.0 else 1.0 + maxOf(0, freeSlots).toDouble() / running
        return maxOf(usable, floor, MIN_RATE) * whenFull
    }

    /** Number of queued requests that are started before the next one of [request]'s organisation in [share]. */
    fun startsAhead(
        request: OfferedRequest,
        share: ClassShare,
    ): Int {
        var ahead = 0
        for ((tier, shares) in classes.tiers) if (tier < share.tier) for (other in shares) ahead += other.queued
        val inClass = aheadInClass(request, share)
        ahead += inClass
        val finish = share.virtualTokens + (inClass + 1) * share.times.tokens / share.weight
        for (other in classes.tiers[share.tier].orEmpty()) {
            if (other === share || other.queued == 0) continue
            val starts = (finish - other.virtualTokens) * other.weight / other.times.tokens
            ahead += ceil(starts).coerceIn(0.0, other.queued.toDouble()).toInt()
        }
        return ahead
    }

    private fun aheadInClass(
        request: OfferedRequest,
        share: ClassShare,
    ): Int {
        val counters = share.counters
        if (share.queued == 0) return 0
        val own = counters.find(request.organisation)
        val ownQueued = own?.queued ?: 0
        val perRequest = share.times.tokens
        val finish = counters.startingTokens(request.organisation) + ownQueued * perRequest / request.organisationWeight
        if (counters.waiting.size > EXACT_ORGANISATIONS) {
            // Too many organisations to look at each: assume that all of them stand at the lowest counter.
            val lowest = counters.next()?.tokens ?: finish
            val others = (finish - lowest) / perRequest * counters.waitingWeight + counters.waiting.size / 2.0
            return ceil(ownQueued + others).coerceIn(0.0, share.queued.toDouble()).toInt()
        }
        var ahead = ownQueued
        for (other in counters.waiting) if (other !== own) ahead += startsBefore(other, finish, perRequest)
        return ahead
    }

    private fun startsBefore(
        other: TokenCounter,
        finish: Double,
        perRequest: Double,
    ): Int {
        val starts = floor1((finish - other.tokens) * other.weight / perRequest)
        return starts.coerceIn(0, other.queued)
    }

    // An organisation at or below the counter starts at least one request before; one above it starts none.
    private fun floor1(starts: Double) = if (starts < 0) 0 else starts.toInt() + 1

    private companion object {
        /**
         * The 99 % quantile of the normal distribution; with the Cornish-Fisher term it gives that of the time which
         * independent releases take, which has a long tail when there are few.
         */
        const val QUANTILE = 2.33
        const val EXACT_ORGANISATIONS = 64
        const val MIN_RATE = 1e-6
    }
}
