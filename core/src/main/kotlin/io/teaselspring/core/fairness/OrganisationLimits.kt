/*
 * Distributed rate and concurrency limits of organisations: a token bucket and a number of slots on each entry, without
 * a request to a store. Entries exchange the demand of each period. The shares of period p follow the demand of period
 * p - 2, which leaves one period for the exchange.
 *
 * Error bound for N entries of which m lack a report of the period in use: an entry that lacks a report uses at most an
 * equal share, so the shares add up to at most 1 + m / N. The number of requests admitted in a window of W seconds is
 * at most (1 + m / N) * (limit * (W + 1) + N), because each bucket holds one second of its share and at least one
 * request. Slots add up to at most (1 + m / N) * maxConcurrent; requests admitted under an older share may exceed that
 * until they end.
 */
package io.teaselspring.core.fairness

import io.teaselspring.core.InstanceId
import io.teaselspring.core.OrganisationId

/**
 * Enforces this entry's share of the limits; [self] is this entry. Periods are [periodMs] long. The times passed in
 * must come from clocks that are about the same on all entries: a difference of d milliseconds adds limit * d / 1000
 * requests to the error. Not thread-safe.
 */
public class OrganisationLimits(
    private val self: InstanceId,
    private val periodMs: Long = 1000,
) {
    private val states = HashMap<OrganisationId, LimitState>()
    private val reports = HashMap<Long, HashMap<InstanceId, DemandReport>>()
    private var entries = listOf(self)
    private var reportedPeriod = -1L

    /**
     * Number of organisations with state. [nextReport] removes those without running requests that have had no requests
     * for more than [IDLE_PERIODS] periods.
     */
    public val size: Int get() = states.size

    /** Sets the live entries. This entry is always one of them. */
    public fun setEntries(liveEntries: Set<InstanceId>) {
        entries = (liveEntries + self).sortedBy { it.value }
        states.values.forEach { it.sharePeriod = -1 }
    }

    /** Admits a request and returns null, or rejects it and returns the time in milliseconds after which to retry. */
    public fun admit(
        organisation: OrganisationId,
        limit: OrganisationLimit,
        nowMs: Long,
    ): Long? {
        val state = states.getOrPut(organisation) { LimitState(nowMs) }
        state.countRequest(nowMs / periodMs)
        updateShare(state, organisation, limit, nowMs)
        val slots = state.slots
        val rate = limit.requestsPerSecond?.let { it * state.share }
        if (rate != null) state.refill(rate, nowMs)
        return when {
            slots != null && state.running >= slots -> periodMs
            rate != null && state.tokens < 1 -> state.retryAfterMs(rate, periodMs)
            else -> {
                state.tokens -= 1
                state.running += 1
                null
            }
        }
    }

    /** Releases the slot of an admitted request of [organisation] that has ended. */
    public fun release(organisation: OrganisationId) {
        states[organisation]?.let { it.running = maxOf(0, it.running - 1) }
    }

    /**
     * Returns the demand of the last complete period, to send to the other entries, or null if it was returned before.
     */
    public fun nextReport(nowMs: Long): DemandReport? {
        val period = nowMs / periodMs - 1
        if (period <= reportedPeriod) return null
        reportedPeriod = period
        states.values.removeIf { it.running == 0 && it.lastPeriod < period - IDLE_PERIODS }
        val requests = states.mapValues { it.value.requestsIn(period) }.filterValues { it > 0 }
        return DemandReport(self, period, requests).also(::addReport)
    }

    /** Adds a report of this or another entry. Reports may arrive in any order and more than once. */
    public fun addReport(report: DemandReport) {
        reports.getOrPut(report.period) { HashMap() }[report.entry] = report
        reports.keys.removeIf { it < report.period - IDLE_PERIODS }
    }

    private fun updateShare(
        state: LimitState,
        organisation: OrganisationId,
        limit: OrganisationLimit,
        nowMs: Long,
    ) {
        val period = nowMs / periodMs
        if (state.sharePeriod == period) return
        val reportByEntry = reports[period - 2].orEmpty()
        val isComplete = entries.all { it in reportByEntry }
        val ownIndex = entries.indexOf(self)
        var shares = limitShares(entries) { reportByEntry[it]?.requests?.get(organisation) ?: 0 }
        // Without all reports this entry's share may be too large, so it is limited to an equal share.
        if (!isComplete && shares[ownIndex] > 1.0 / entries.size) shares = limitShares(entries) { 0 }
        state.sharePeriod = period
        state.share = shares[ownIndex]
        state.slots = limit.maxConcurrent?.let { wholeSlots(shares, ownIndex, it) }
    }

    private companion object {
        const val IDLE_PERIODS = 4
    }
}

/** Token bucket, running requests and demand of one organisation on this entry. */
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
    private var previousRequests = 0

    fun countRequest(period: Long) {
        if (period != lastPeriod) {
            previousRequests = if (period == lastPeriod + 1) requests else 0
            requests = 0
            lastPeriod = period
        }
        requests += 1
    }

    fun requestsIn(period: Long) =
        when (period) {
            lastPeriod -> requests
            lastPeriod - 1 -> previousRequests
            else -> 0
        }

    fun refill(
        ratePerSecond: Double,
        nowMs: Long,
    ) {
        tokens = minOf(maxOf(1.0, ratePerSecond), tokens + ratePerSecond * (nowMs - refilledAtMs) / 1000)
        refilledAtMs = nowMs
    }

    fun retryAfterMs(
        ratePerSecond: Double,
        zeroRateMs: Long,
    ): Long = if (ratePerSecond <= 0) zeroRateMs else ((1 - tokens) / ratePerSecond * 1000).toLong() + 1
}
