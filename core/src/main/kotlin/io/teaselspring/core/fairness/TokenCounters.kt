/*
 * Weighted fair queueing of the organisations in one service class by virtual token counters. An organisation is
 * charged the tokens that its requests produce, divided by its weight, and the organisation with the lowest counter is
 * served next. When an organisation becomes active, its counter is raised to the lowest one of the active
 * organisations, so that idle time earns no credit.
 */
package io.teaselspring.core.fairness

import io.teaselspring.core.OrganisationId
import java.util.TreeSet

/** The counter of one organisation in one class. [id] is null for callers without an organisation. */
internal class TokenCounter(
    val id: OrganisationId?,
    private val creationIndex: Long,
) : Comparable<TokenCounter> {
    var weight: Int = 1
    var tokens: Double = 0.0
    var queued: Int = 0
    var running: Int = 0

    val active: Boolean get() = queued > 0 || running > 0

    override fun compareTo(other: TokenCounter): Int {
        val byTokens = tokens.compareTo(other.tokens)
        return if (byTokens != 0) byTokens else creationIndex.compareTo(other.creationIndex)
    }
}

/**
 * The counters of one class. The counter of an idle organisation is removed as soon as the lowest active counter has
 * reached it, because activation would raise it to that value anyway.
 */
internal class TokenCounters {
    private val byId = HashMap<OrganisationId?, TokenCounter>()
    private val active = TreeSet<TokenCounter>()
    private val ready = TreeSet<TokenCounter>()
    private val idle = TreeSet<TokenCounter>()
    private var createdCount = 0L

    /** The highest value that the lowest active counter has reached. It never decreases. */
    private var virtualTime = 0.0

    /** Number of organisations with a counter. */
    val size: Int get() = byId.size

    /** Counters of the organisations with queued requests, lowest first. */
    val waiting: Set<TokenCounter> get() = ready

    /** Sum of the weights of [waiting]. */
    var waitingWeight: Int = 0
        private set

    /** Returns the counter of the organisation to serve next, or null if none has queued requests. */
    fun next(): TokenCounter? = if (ready.isEmpty()) null else ready.first()

    /** Returns the counter of [id], or null if it has none. */
    fun find(id: OrganisationId?): TokenCounter? = byId[id]

    /** Returns the value that the counter of [id] has, or would start at if [id] became active now. */
    fun startingTokens(id: OrganisationId?): Double {
        val counter = byId[id]
        return if (counter != null && counter.active) counter.tokens else maxOf(counter?.tokens ?: 0.0, lowestActive())
    }

    /**
     * Returns the counter of [id] and sets its weight. Creates it, or raises it to the lowest active one if it was
     * idle.
     */
    fun activate(
        id: OrganisationId?,
        weight: Int,
    ): TokenCounter {
        val counter = byId.getOrPut(id) { TokenCounter(id, createdCount++) }
        if (!counter.active) {
            idle.remove(counter)
            counter.tokens = maxOf(counter.tokens, lowestActive())
        }
        if (counter in ready) waitingWeight += weight - counter.weight
        counter.weight = weight
        return counter
    }

    /**
     * Corrects the tokens charged to [id] by [tokens], divided by its weight. A correction below 0 is dropped if [id]
     * has no counter: it would start at the lowest active one anyway.
     */
    fun correct(
        id: OrganisationId?,
        tokens: Double,
    ) {
        val counter = byId[id] ?: if (tokens > 0) activate(id, weight = 1) else return
        update(counter, tokens = tokens)
    }

    /** Adds [queued] and [running] to the requests of [counter], and charges it [tokens] divided by its weight. */
    fun update(
        counter: TokenCounter,
        queued: Int = 0,
        running: Int = 0,
        tokens: Double = 0.0,
    ) {
        if (counter.active) active.remove(counter) else idle.remove(counter)
        if (ready.remove(counter)) waitingWeight -= counter.weight
        counter.queued += queued
        counter.running += running
        counter.tokens += tokens / counter.weight
        if (counter.queued > 0) {
            ready.add(counter)
            waitingWeight += counter.weight
        }
        if (counter.active) active.add(counter) else idle.add(counter)
        virtualTime = maxOf(virtualTime, if (active.isEmpty()) counter.tokens else active.first().tokens)
        removeIdle()
    }

    private fun lowestActive() = if (active.isEmpty()) virtualTime else active.first().tokens

    private fun removeIdle() {
        while (idle.isNotEmpty() && idle.first().tokens <= virtualTime) byId.remove(idle.pollFirst()?.id)
    }
}
