/*
 * The work of one class on one agent: its queue by organisation, its share of the tier, and what was learned about
 * how long its requests take. Answer lengths are unknown, so everything is learned from requests that have run.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.ClassName
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.fairness.TokenCounter
import io.teaselspring.core.fairness.TokenCounters
import java.util.TreeMap
import java.util.TreeSet

internal enum class Phase { QUEUED, RUNNING, STOPPING, OVER }

/** One accepted attempt. [sequence] is its place in the order of arrival, which a preempted attempt keeps. */
internal class Attempt(
    val request: OfferedRequest,
    val sequence: Long,
    val share: ClassShare,
) {
    var phase = Phase.QUEUED
    var started = false
    var startedAtMs = 0L
    var lastTokenAtMs: Long? = null
    var reservedTokens = 0.0
    var producedTokens = 0L
    var runningMs = 0L
    var stopCause: StopCause? = null
    lateinit var counter: TokenCounter
}

private val byFirstTokenDeadline = compareBy<Attempt>({ it.request.firstTokenDeadlineMs }, { it.sequence })

/** All state of one class in one tier. */
internal class ClassShare(
    val name: ClassName,
    val tier: Int,
) {
    val counters = TokenCounters()
    private val queues = HashMap<OrganisationId?, TreeMap<Long, Attempt>>()

    /** Queued attempts that have never started, by first-token deadline. */
    val fresh = TreeSet(byFirstTokenDeadline)
    private val preempted = TreeSet(compareBy<Attempt> { it.sequence })
    val times = ServiceTimes()
    var weight = 1
    var queued = 0
        private set
    var running = 0
        private set

    /** Tokens charged to the class divided by its weight. */
    var virtualTokens = 0.0

    val active: Boolean get() = queued > 0 || running > 0

    /**
     * The attempt to start next. Preempted ones come first: their organisations were chosen and charged before, and
     * a stream that waits for long enough passes its deadline and was produced in vain.
     */
    fun head(): Attempt? =
        if (preempted.isNotEmpty()) {
            preempted.first()
        } else {
            counters.next()?.let { queues.getValue(it.id).firstEntry().value }
        }

    fun enqueue(attempt: Attempt) {
        val request = attempt.request
        attempt.counter = counters.activate(request.organisation, request.organisationWeight)
        queues.getOrPut(request.organisation) { TreeMap() }[attempt.sequence] = attempt
        counters.update(attempt.counter, queued = 1)
        queued += 1
        if (attempt.started) preempted.add(attempt) else fresh.add(attempt)
        attempt.phase = Phase.QUEUED
    }

    fun dequeue(attempt: Attempt) {
        takeFromQueue(attempt)
        counters.update(attempt.counter, queued = -1)
        attempt.phase = Phase.OVER
    }

    /** Moves [attempt] from the queue to the batch and reserves the tokens that such a request produces on average. */
    fun start(
        attempt: Attempt,
        nowMs: Long,
    ) {
        takeFromQueue(attempt)
        attempt.phase = Phase.RUNNING
        attempt.started = true
        attempt.startedAtMs = nowMs
        attempt.lastTokenAtMs = null
        attempt.reservedTokens = times.tokens
        running += 1
        times.started(nowMs)
        counters.update(attempt.counter, queued = -1, running = 1)
        charge(attempt, attempt.reservedTokens)
    }

    private fun takeFromQueue(attempt: Attempt) {
        val queue = queues.getValue(attempt.request.organisation)
        queue.remove(attempt.sequence)
        if (queue.isEmpty()) queues.remove(attempt.request.organisation)
        queued -= 1
        if (attempt.started) preempted.remove(attempt) else fresh.remove(attempt)
    }

    /** Charges [count] produced tokens, first against the reservation made at the start. */
    fun produced(
        attempt: Attempt,
        count: Int,
    ) {
        attempt.producedTokens += count
        val fromReserve = minOf(attempt.reservedTokens, count.toDouble())
        attempt.reservedTokens -= fromReserve
        if (count > fromReserve) charge(attempt, count - fromReserve)
    }

    /** Takes [attempt] out of the batch and gives back what is left of its reservation. */
    fun release(
        attempt: Attempt,
        nowMs: Long,
        completed: Boolean,
    ) {
        attempt.runningMs += nowMs - attempt.startedAtMs
        // A call without tokens, as on a plain service, counts as one token.
        val unused = if (attempt.producedTokens == 0L) attempt.reservedTokens - 1.0 else attempt.reservedTokens
        attempt.reservedTokens = 0.0
        charge(attempt, -unused)
        counters.update(attempt.counter, running = -1)
        running -= 1
        times.ended(attempt, nowMs, completed)
        attempt.phase = Phase.OVER
    }

    private fun charge(
        attempt: Attempt,
        tokens: Double,
    ) {
        counters.update(attempt.counter, tokens = tokens)
        virtualTokens += tokens / weight
    }
}
