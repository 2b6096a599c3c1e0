/*
 * Virtual token counters of the organisations inside one class. An organisation is charged the tokens that its
 * requests produce, divided by its weight, and the organisation with the lowest counter is served next. One that
 * becomes active starts at the lowest counter of the active ones, so that idle time earns no credit.
 */
package io.teaselspring.core.fairness

import io.teaselspring.core.OrganisationId
import java.util.TreeSet

/** The counter of one organisation in one class. Null [id] stands for callers without an organisation. */
internal class TokenCounter(
    val id: OrganisationId?,
    private val order: Long,
) : Comparable<TokenCounter> {
    var weight: Int = 1
    var tokens: Double = 0.0
    var queued: Int = 0
    var running: Int = 0

    val active: Boolean get() = queued > 0 || running > 0

    override fun compareTo(other: TokenCounter): Int {
        val byTokens = tokens.compareTo(other.tokens)
        return if (byTokens != 0) byTokens else order.compareTo(other.order)
    }
}

/** All counters of one class. Idle organisations are forgotten as soon as the lowest active counter has passed them. */
internal class TokenCounters {
    private val byId = HashMap<OrganisationId?, TokenCounter>()
    private val active = TreeSet<TokenCounter>()
    private val ready = TreeSet<TokenCounter>()
    private val idle = TreeSet<TokenCounter>()
    private var created = 0L
    private var floor = 0.0

    /** Number of organisations with a counter. */
    val size: Int get() = byId.size

    /** Organisations with queued work, lowest counter first. */
    val waiting: Set<TokenCounter> get() = ready

    /** Sum of the weights of [waiting]. */
    var waitingWeight: Int = 0
        private set

    /** The organisation to serve next, or null when none has queued work. */
    fun next(): TokenCounter? = if (ready.isEmpty()) null else ready.first()

    /** The counter of [id] if it has one. */
    fun find(id: OrganisationId?): TokenCounter? = byId[id]

    /** The counter that [id] would start with if it became active now. */
    fun startingTokens(id: OrganisationId?): Double {
        val known = byId[id]
        return if (known != null && known.active) known.tokens else maxOf(known?.tokens ?: 0.0, lowest())
    }

    /** The counter of [id], created or raised to the lowest active one if it had no work. */
    fun activate(
        id: OrganisationId?,
        weight: Int,
    ): TokenCounter {
        val counter = byId.getOrPut(id) { TokenCounter(id, created++) }
        if (!counter.active) {
            idle.remove(counter)
            counter.tokens = maxOf(counter.tokens, lowest())
        }
        if (counter in ready) waitingWeight += weight - counter.weight
        counter.weight = weight
        return counter
    }

    /** Adds [queued] and [running] to the work of [counter], and [tokens] to its charge. */
    fun update(
        counter: TokenCounter,
        queued: Int = 0,
        running: Int = 0,
        tokens: Double = 0.0,
    ) {
        active.remove(counter)
        if (ready.remove(counter)) waitingWeight -= counter.weight
        counter.queued += queued
        counter.running += running
        counter.tokens += tokens / counter.weight
        if (counter.queued > 0) {
            ready.add(counter)
            waitingWeight += counter.weight
        }
        if (counter.active) active.add(counter) else idle.add(counter)
        floor = maxOf(floor, if (active.isEmpty()) counter.tokens else active.first().tokens)
        forgetIdle()
    }

    private fun lowest() = if (active.isEmpty()) floor else active.first().tokens

    private fun forgetIdle() {
        while (idle.isNotEmpty() && idle.first().tokens <= floor) byId.remove(idle.pollFirst()?.id)
    }
}
