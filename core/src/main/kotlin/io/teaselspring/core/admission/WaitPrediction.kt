/*
 * Prediction of the queueing delay of a request on one agent. The running requests and the service times of their
 * classes give the rate at which batch slots become free. The predicted wait is the number of slots that must become
 * free, given the starts ahead of the request, divided by the part of that rate available to its tier.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.fairness.TokenCounter
import kotlin.math.ceil
import kotlin.math.sqrt

/** A predicted wait until [releases] slots have become free: its mean and its 99th percentile. */
internal data class Wait(
    val releases: Int,
    val meanMs: Double,
    val p99Ms: Double,
)

internal class WaitPrediction(
    private val classes: ClassStates,
    private val floorSharePct: Int,
) {
    /** Wait of [request], added to the queue of [state]. [freeSlots] is negative while the batch exceeds its limit. */
    fun waitOf(
        request: OfferedRequest,
        state: ClassState,
        freeSlots: Int,
        nowMs: Long,
    ): Wait = waitBehind(startsAhead(request, state), state.tier, freeSlots, nowMs)

    /** Wait of a request of [tier] that starts after [ahead] other requests. */
    fun waitBehind(
        ahead: Int,
        tier: Int,
        freeSlots: Int,
        nowMs: Long,
    ): Wait {
        val releases = maxOf(0, ahead + 1 - freeSlots)
        if (releases == 0) return Wait(0, 0.0, 0.0)
        val rate = releaseRate(tier, freeSlots, nowMs)
        val p99Releases = releases + Z_SCORE_P99 * sqrt(releases.toDouble()) + (Z_SCORE_P99 * Z_SCORE_P99 - 1) / 3
        return Wait(releases, releases / rate, p99Releases / rate)
    }

    /**
     * Slots per millisecond that become free for [tier] once the [freeSlots] are in use. Slots released by higher tiers
     * go to their next requests, and lower tiers with queued work get their floor share.
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
        for ((otherTier, states) in classes.tiers) {
            for (state in states) {
                val rate = state.running / state.times.serviceMs(nowMs)
                running += state.running
                total += rate
                if (otherTier >= tier) usable += rate
                if (otherTier > tier && state.queued > 0) lowerWaits = true
            }
        }
        val floor = total * floorSharePct / 100
        if (lowerWaits) usable -= floor
        val freeSlotFactor = if (running == 0) 1.0 else 1.0 + maxOf(0, freeSlots).toDouble() / running
        return maxOf(usable, floor, MIN_RELEASES_PER_MS) * freeSlotFactor
    }

    /** Number of queued requests that start before the next request of [request]'s organisation in [state]. */
    fun startsAhead(
        request: OfferedRequest,
        state: ClassState,
    ): Int {
        var ahead = 0
        for ((tier, states) in classes.tiers) if (tier < state.tier) for (other in states) ahead += other.queued
        val inClass = aheadInClass(request, state)
        ahead += inClass
        val finishTokens = state.virtualTokens + (inClass + 1) * state.times.meanTokens / state.weight
        for (other in classes.tiers[state.tier].orEmpty()) {
            if (other === state || other.queued == 0) continue
            val starts = (finishTokens - other.virtualTokens) * other.weight / other.times.meanTokens
            ahead += ceil(starts).coerceIn(0.0, other.queued.toDouble()).toInt()
        }
        return ahead
    }

    private fun aheadInClass(
        request: OfferedRequest,
        state: ClassState,
    ): Int {
        val counters = state.counters
        if (state.queued == 0) return 0
        val own = counters.find(request.organisation)
        val ownQueued = own?.queued ?: 0
        val tokensPerRequest = state.times.meanTokens
        val finishTokens =
            counters.startingTokens(request.organisation) + ownQueued * tokensPerRequest / request.organisationWeight
        if (counters.waiting.size > MAX_EXACT_ORGANISATIONS) {
            // Too many organisations to examine individually: assume that all of them have the lowest counter.
            val lowest = counters.next()?.tokens ?: finishTokens
            val others =
                (finishTokens - lowest) / tokensPerRequest * counters.waitingWeight + counters.waiting.size / 2.0
            return ceil(ownQueued + others).coerceIn(0.0, state.queued.toDouble()).toInt()
        }
        var ahead = ownQueued
        for (other in counters.waiting) if (other !== own) ahead += startsBefore(other, finishTokens, tokensPerRequest)
        return ahead
    }

    private fun startsBefore(
        other: TokenCounter,
        finishTokens: Double,
        tokensPerRequest: Double,
    ): Int {
        val starts = startsUpTo((finishTokens - other.tokens) * other.weight / tokensPerRequest)
        return starts.coerceIn(0, other.queued)
    }

    // An organisation at or below the counter starts at least one request first; one above it starts none.
    private fun startsUpTo(starts: Double) = if (starts < 0) 0 else starts.toInt() + 1

    private companion object {
        /**
         * The 99 % quantile of the normal distribution. With the Cornish-Fisher correction it approximates the 99 %
         * quantile of the time that independent releases take, which has a long tail when there are few.
         */
        const val Z_SCORE_P99 = 2.33
        const val MAX_EXACT_ORGANISATIONS = 64
        const val MIN_RELEASES_PER_MS = 1e-6
    }
}
