/*
 * Order of the waiting requests of one priority by organisation. Organisations that compete get equal shares of engine
 * time, by virtual token counters: an organisation is charged the uncached prompt tokens and the output tokens of its
 * requests, divided by the speed of the instance, and the one with the lowest counter is offered an instance next. An
 * organisation competes while it has waiting requests; when it begins to, its counter starts at the lowest one of those
 * that do, so that idle time earns no credit.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.OrganisationId
import io.teaselspring.core.fairness.TokenCounter
import io.teaselspring.core.fairness.TokenCounters
import java.util.PriorityQueue

/** What a started request was charged for: its output is an expectation until [RequestQueue.settle]. */
public data class EngineCharge(
    val organisation: OrganisationId?,
    val priority: Int,
    val expectedOutputTokens: Double,
    val speed: Double,
)

/** Engine time that an organisation has had, in virtual tokens, and its waiting requests. */
public data class OrganisationShare(
    val organisation: OrganisationId?,
    val priority: Int,
    val engineTokens: Double,
    val waiting: Int,
)

/** The counters of the organisations in one queue. Not thread-safe. */
internal class OrganisationOrder {
    private val countersByPriority = HashMap<Int, TokenCounters>()
    private var meanOutputTokens: Double? = null

    /** The organisations that compete. */
    val shares: List<OrganisationShare>
        get() =
            countersByPriority.flatMap { (priority, counters) ->
                counters.waiting.map { OrganisationShare(it.id, priority, it.tokens, it.queued) }
            }

    fun added(request: QueuedRequest) {
        val counters = countersOf(request.priority)
        counters.update(counters.activate(request.organisation, WEIGHT), queued = 1)
    }

    /** Records that [request] no longer waits and has not started. */
    fun removed(request: QueuedRequest) {
        val counters = countersOf(request.priority)
        counters.find(request.organisation)?.let { counters.update(it, queued = -1) }
    }

    /** Charges [request], which has started on an instance of [speed] that has to prefill [uncachedTokens] of it. */
    fun started(
        request: QueuedRequest,
        uncachedTokens: Long,
        speed: Double,
    ): EngineCharge {
        val outputTokens = request.output.expectedTokens(meanOutputTokens)
        val counters = countersOf(request.priority)
        val engineTokens = (uncachedTokens + OUTPUT_TOKEN_COST * outputTokens) / speed
        counters.find(request.organisation)?.let {
            counters.update(it, queued = -1, tokens = engineTokens)
            counters.raiseTo(it.tokens - MAX_LAG_TOKENS)
        }
        return EngineCharge(request.organisation, request.priority, outputTokens, speed)
    }

    /** Corrects [charge] when its request has ended with [outputTokens]. */
    fun settle(
        charge: EngineCharge,
        outputTokens: Long,
    ) {
        if (outputTokens > 0) {
            val mean = meanOutputTokens ?: outputTokens.toDouble()
            meanOutputTokens = mean + (outputTokens - mean) * MEAN_WEIGHT
        }
        val engineTokens = OUTPUT_TOKEN_COST * (outputTokens - charge.expectedOutputTokens) / charge.speed
        countersOf(charge.priority).correct(charge.organisation, engineTokens)
    }

    /**
     * Calls [offer] once for each of [sorted]. These are sorted by priority, then by whether [isLate], then by arrival;
     * among those equal in both, the organisation with the lowest counter comes next. [offer] may charge it.
     */
    fun forEach(
        sorted: List<QueuedRequest>,
        isLate: (QueuedRequest) -> Boolean,
        offer: (QueuedRequest) -> Unit,
    ) {
        var start = 0
        while (start < sorted.size) {
            val first = sorted[start]
            val late = isLate(first)
            var end = start + 1
            while (end < sorted.size && sorted[end].priority == first.priority && isLate(sorted[end]) == late) end += 1
            forEachByTurn(sorted.subList(start, end), countersOf(first.priority), offer)
            start = end
        }
    }

    private fun forEachByTurn(
        sorted: List<QueuedRequest>,
        counters: TokenCounters,
        offer: (QueuedRequest) -> Unit,
    ) {
        val turns = PriorityQueue<Turn>()
        sorted.groupBy { it.organisation }.forEach { (organisation, requests) ->
            turns += Turn(counters.startingTokens(organisation), requests, next = 0)
        }
        while (true) {
            val turn = turns.poll() ?: return
            offer(turn.request)
            if (turn.next == turn.requests.lastIndex) continue
            val tokens = counters.startingTokens(turn.request.organisation)
            turns += Turn(tokens, turn.requests, turn.next + 1)
        }
    }

    private fun countersOf(priority: Int) = countersByPriority.getOrPut(priority) { TokenCounters() }

    /** The turn of an organisation whose counter is [tokens], with its request [next]; at a tie the earlier request. */
    private class Turn(
        val tokens: Double,
        val requests: List<QueuedRequest>,
        val next: Int,
    ) : Comparable<Turn> {
        val request get() = requests[next]

        override fun compareTo(other: Turn): Int {
            val byTokens = tokens.compareTo(other.tokens)
            return if (byTokens != 0) byTokens else request.arrivedMs.compareTo(other.request.arrivedMs)
        }
    }

    private companion object {
        /** Organisations have equal shares. */
        const val WEIGHT = 1

        /** Engine time of an output token in that of an uncached prompt token. */
        const val OUTPUT_TOKEN_COST = 10

        /**
         * Bound of the credit of an organisation whose requests wait for instances that have no room while others are
         * served: about ten usual requests. Without it, the next one to compete starts as low and is served alone.
         */
        const val MAX_LAG_TOKENS = 100_000.0

        const val MEAN_WEIGHT = 0.05
    }
}

/** Raises the counters of the organisations with waiting requests to at least [tokens]. */
private fun TokenCounters.raiseTo(tokens: Double) {
    var lowest: TokenCounter? = next()
    while (lowest != null && lowest.tokens < tokens) {
        update(lowest, tokens = tokens - lowest.tokens)
        lowest = next()
    }
}
