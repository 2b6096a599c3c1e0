/*
 * The state of one service class on one agent: its queue by organisation, its virtual token count within the tier, and
 * its service times. Response lengths are not known in advance, so they are estimated from requests that have run.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.ClassName
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.fairness.TokenCounter
import io.teaselspring.core.fairness.TokenCounters
import java.util.TreeMap
import java.util.TreeSet

internal enum class Phase { QUEUED, RUNNING, STOPPING, OVER }

/** One accepted attempt. [sequence] is its position in the order of arrival, which a preempted attempt keeps. */
internal class Attempt(
    val request: OfferedRequest,
    val sequence: Long,
    val state: ClassState,
) {
    var phase = Phase.QUEUED
    var hasStarted = false
    var startedAtMs = 0L
    var lastTokenAtMs: Long? = null
    var reservedTokens = 0.0
    var producedTokens = 0L
    var runningMs = 0L
    var stopCause: StopCause? = null
    lateinit var counter: TokenCounter
}

private val byFirstTokenDeadline = compareBy<Attempt>({ it.request.firstTokenDeadlineMs }, { it.sequence })

/** The queue, token accounting and service times of one class in one tier. */
internal class ClassState(
    val name: ClassName,
    val tier: Int,
) {
    val counters = TokenCounters()
    private val queues = HashMap<OrganisationId?, TreeMap<Long, Attempt>>()

    /** Queued attempts that have never started, by first-token deadline. */
    val neverStarted = TreeSet(byFirstTokenDeadline)
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
     * The attempt to start next. Preempted attempts come first: their organisations have been selected and charged
     * already, and the tokens of a stream that waits past its deadline are wasted.
     */
    fun nextAttempt(): Attempt? =
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
        if (attempt.hasStarted) preempted.add(attempt) else neverStarted.add(attempt)
        attempt.phase = Phase.QUEUED
    }

    fun dequeue(attempt: Attempt) {
        removeFromQueue(attempt)
        counters.update(attempt.counter, queued = -1)
        attempt.phase = Phase.OVER
    }

    /** Moves [attempt] from the queue to the batch and reserves the mean number of tokens of its class. */
    fun start(
        attempt: Attempt,
        nowMs: Long,
    ) {
        removeFromQueue(attempt)
        attempt.phase = Phase.RUNNING
        attempt.hasStarted = true
        attempt.startedAtMs = nowMs
        attempt.lastTokenAtMs = null
        attempt.reservedTokens = times.meanTokens
        running += 1
        times.recordStart(nowMs)
        counters.update(attempt.counter, queued = -1, running = 1)
        charge(attempt, attempt.reservedTokens)
    }

    private fun removeFromQueue(attempt: Attempt) {
        val queue = queues.getValue(attempt.request.organisation)
        queue.remove(attempt.sequence)
        if (queue.isEmpty()) queues.remove(attempt.request.organisation)
        queued -= 1
        if (attempt.hasStarted) preempted.remove(attempt) else neverStarted.remove(attempt)
    }

    /** Charges [count] produced tokens, first against the reservation made by [start]. */
    fun chargeProduced(
        attempt: Attempt,
        count: Int,
    ) {
        attempt.producedTokens += count
        val fromReserve = minOf(attempt.reservedTokens, count.toDouble())
        attempt.reservedTokens -= fromReserve
        if (count > fromReserve) charge(attempt, count - fromReserve)
    }

    /** Removes [attempt] from the batch and refunds the unused part of its reservation. */
    fun release(
        attempt: Attempt,
        nowMs: Long,
        completed: Boolean,
    ) {
        attempt.runningMs += nowMs - attempt.startedAtMs
        // A request without tokens, as on a plain service, is charged one token.
        val unused = if (attempt.producedTokens == 0L) attempt.reservedTokens - 1.0 else attempt.reservedTokens
        attempt.reservedTokens = 0.0
        charge(attempt, -unused)
        counters.update(attempt.counter, running = -1)
        running -= 1
        times.recordEnd(attempt, nowMs, completed)
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
