/*
 * Rate and concurrency limits of organisations, held across entries without asking a store. Entries exchange the
 * demand of each period; the shares of period p follow the demand of period p - 2, which leaves a period for the
 * exchange.  Error bound for N entries of which m lack a report of the period in use: an entry that lacks one takes
 * at most an equal part, so the shares add up to at most 1 + m / N. The admitted rate over a window of W seconds is
 * at most (1 + m / N) * (limit * (W + 1) + N), as each bucket holds one second of its share and at least one
 * request. Slots add up to (1 + m / N) * maxConcurrent; requests admitted under an older share may run on above
 * that until they end.
 */
package io.teaselspring.core.fairness

import io.teaselspring.core.InstanceId
import io.teaselspring.core.OrganisationId

/**
 * The limits as one entry, [self], applies them. Periods are [periodMs] long on the clock that is passed in, which must
 * be about the same on all entries: a difference of d milliseconds adds limit * d / 1000 requests to the error. Not
 * thread-safe.
 */
public class OrganisationLimits(
    private val self: InstanceId,
    private val periodMs: Long = 1000,
) {
    private val states = HashMap<OrganisationId, LimitState>()
    private val reports = HashMap<Long, HashMap<InstanceId, DemandReport>>()
    private var entries = listOf(self)
    private var reportedPeriod = -1L

    /** Number of organisations with state; those without requests for some periods are dropped by [report]. */
    public val size: Int get() = states.size

    /** Sets the live entries, this one included. */
    public fun entriesChanged(live: Set<InstanceId>) {
        entries = (live + self).sortedBy { it.value }
        states.values.forEach { it.sharePeriod = -1 }
    }

    /** Admits a request and returns null, or returns the time in milliseconds after which to retry. */
    public fun admit(
        organisation: OrganisationId,
        limit: OrganisationLimit,
        nowMs: Long,
    ): Long? {
        val state = states.getOrPut(organisation) { LimitState(nowMs) }
        state.count(nowMs / periodMs)
        refreshShare(state, organisation, limit, nowMs)
        val slots = state.slots
        val rate = limit.requestsPerSecond?.let { it * state.share }
        if (rate != null) state.refill(rate, nowMs)
        return when {
            slots != null && state.running >= slots -> periodMs
            rate != null && state.tokens < 1 -> state.waitMs(rate, periodMs)
            else -> {
                state.tokens -= 1
                state.running += 1
                null
            }
        }
    }

    /** An admitted request of [organisation] ended. */
    public fun ended(organisation: OrganisationId) {
        states[organisation]?.let { it.running = maxOf(0, it.running - 1) }
    }

    /** The demand of the period that ended last, to send to the other entries; null if it was returned before. */
    public fun report(nowMs: Long): DemandReport? {
        val period = nowMs / periodMs - 1
        if (period <= reportedPeriod) return null
        reportedPeriod = period
        states.values.removeIf { it.running == 0 && it.lastPeriod < period - IDLE_PERIODS }
        val requests = states.mapValues { it.value.requestsIn(period) }.filterValues { it > 0 }
        return DemandReport(self, period, requests).also(::received)
    }

    /** A report of this or another entry; reports may come in any order and more than once. */
    public fun received(report: DemandReport) {
        reports.getOrPut(report.period) { HashMap() }[report.entry] = report
        reports.keys.removeIf { it < report.period - IDLE_PERIODS }
    }

    private fun refreshShare(
        state: LimitState,
        organisation: OrganisationId,
        limit: OrganisationLimit,
        nowMs: Long,
    ) {
        val period = nowMs / periodMs
        if (state.sharePeriod == period) return
        val known = reports[period - 2].orEmpty()
        val complete = entries.all { it in known }
        val own = entries.indexOf(self)
        var shares = limitShares(entries) { known[it]?.requests?.get(organisation) ?: 0 }
        if (!complete && shares[own] > 1.0 / entries.size) shares = limitShares(entries) { 0 }
        state.sharePeriod = period
        state.share = shares[own]
        state.slots = limit.maxConcurrent?.let { wholeSlots(shares, own, it) }
    }

    private companion object {
        const val IDLE_PERIODS = 4
    }
}

/** One organisation on one entry. */
private class LimitState(
    private var refilledAtMs: Long,
) {
    var tokens = 1.0
    var running = 0
    var share = 1.0
    var slots: Int? = null
    var sharePeriod = -1L
    var lastPeriod = -1L
        private set
    private var requests = 0
    private var requestsBefore = 0

    fun count(period: Long) {
        if (period != lastPeriod) {
            requestsBefore = if (period == lastPeriod + 1) requests else 0
            requests = 0
            lastPeriod = period
        }
        requests += 1
    }

    fun requestsIn(period: Long) =
        when (period) {
            lastPeriod -> requests
            lastPeriod - 1 -> requestsBefore
            else -> 0
        }

    fun refill(
        ratePerSecond: Double,
        nowMs: Long,
    ) {
        tokens = minOf(maxOf(1.0, ratePerSecond), tokens + ratePerSecond * (nowMs - refilledAtMs) / 1000)
        refilledAtMs = nowMs
    }

    fun waitMs(
        ratePerSecond: Double,
        longestMs: Long,
    ): Long = if (ratePerSecond <= 0) longestMs else ((1 - tokens) / ratePerSecond * 1000).toLong() + 1
}
