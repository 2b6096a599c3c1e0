/*
 * Dispatch state machine of one request on an entry. It selects the agent for each offer, classifies refused and lost
 * attempts, decides on retries, the displacing pass and resumed streams, and determines the outcome. It does no I/O.
 */
package io.teaselspring.core.dispatch

import io.teaselspring.core.InstanceId

/**
 * Properties of the request that determine its retries. An [idempotent] request may be repeated although an earlier
 * attempt may have run; a [resumable] stream continues at the caller's offset on another agent.
 */
public data class DispatchRequest(
    val tier: Int,
    val idempotent: Boolean,
    val resumable: Boolean,
    val deadlineMs: Long,
)

/**
 * Selects an agent outside `tried` for the next offer, or returns null when every eligible agent has been tried.
 * With `displace` only agents that have work of a lower tier need to be considered.
 */
public typealias ChooseAgent = (tried: Set<InstanceId>, displace: Boolean, nowMs: Long) -> InstanceId?

/** When to come back after a pause, or null unless the upstreams of all agents for the request want one. */
public typealias PausedFor = (nowMs: Long) -> Long?

/** Takes one retry from the retry budget; returns false when the budget is exhausted. */
public typealias SpendRetry = () -> Boolean

/**
 * The state machine of one request. Not thread-safe. Events must belong to the current attempt: the code that drives it
 * discards those of earlier attempts. After an action that ends the request, every event returns Wait.
 *
 * After an offer that has certainly not run, the next agent is tried without using the retry budget; each agent gets at
 * most one such offer per pass. An attempt that may have run is repeated only if that is safe, which uses one retry of
 * the budget.
 */
public class Dispatch(
    private val request: DispatchRequest,
    private val choose: ChooseAgent,
    private val pausedForMs: PausedFor = { null },
    private val spendRetry: SpendRetry,
) {
    private val triedAgents = mutableSetOf<InstanceId>()
    private val lostAgents = mutableSetOf<InstanceId>()
    private val retryAfter = RetryAfter()
    private var currentAgent: InstanceId? = null
    private var attempt = 0
    private var nextOffset = 0L
    private var displace = false
    private var retryCount = 0
    private var mayHaveRun = false
    private var ended = false

    /** Applies [event] at [nowMs] and returns the action to execute. */
    public fun step(
        event: DispatchEvent,
        nowMs: Long,
    ): DispatchAction {
        if (ended) return DispatchAction.Wait
        return when (event) {
            DispatchEvent.Begin, DispatchEvent.NotSent -> offerNext(nowMs)
            DispatchEvent.Accepted -> DispatchAction.Wait
            is DispatchEvent.Progress -> DispatchAction.Wait.also { nextOffset = maxOf(nextOffset, event.nextOffset) }
            is DispatchEvent.NotRun -> handleNotRun(event, nowMs)
            is DispatchEvent.Finished -> handleFinished(event, nowMs)
            DispatchEvent.Lost -> retryOrFail("the agent's connection was lost", nowMs)
            DispatchEvent.CallerLeft -> endWith(DispatchAction.CancelAttempt)
        }
    }

    private fun handleNotRun(
        event: DispatchEvent.NotRun,
        nowMs: Long,
    ): DispatchAction {
        currentAgent?.let { retryAfter.record(it, event, nowMs) }
        return if (event.reason == NotRunCause.KEY_WITHDRAWN) {
            refuse(401, "key withdrawn", nowMs)
        } else {
            offerNext(nowMs)
        }
    }

    private fun handleFinished(
        event: DispatchEvent.Finished,
        nowMs: Long,
    ) = if (event.chunkCount == nextOffset) {
        endWith(DispatchAction.Complete)
    } else {
        retryOrFail("the answer is incomplete", nowMs)
    }

    private fun retryOrFail(
        reason: String,
        nowMs: Long,
    ): DispatchAction {
        mayHaveRun = true
        currentAgent?.let { lostAgents += it }
        val repeatable = request.resumable || (request.idempotent && nextOffset == 0L)
        val mayRetry = repeatable && nowMs < request.deadlineMs && retryCount < MAX_RETRIES
        if (!mayRetry || !spendRetry()) return endWith(DispatchAction.FailUnknown(reason))
        retryCount += 1
        displace = false
        triedAgents.clear()
        triedAgents += lostAgents
        return offerNext(nowMs)
    }

    private fun offerNext(nowMs: Long): DispatchAction {
        if (nowMs >= request.deadlineMs) return refuse(504, "deadline exceeded", nowMs)
        val agent = choose(triedAgents, displace, nowMs) ?: startDisplacingPass(nowMs)
        if (agent == null || agent in triedAgents) return refuseNoAgent(nowMs)
        triedAgents += agent
        currentAgent = agent
        attempt += 1
        return DispatchAction.Offer(agent, attempt, displace, nextOffset)
    }

    private fun startDisplacingPass(nowMs: Long): InstanceId? {
        if (displace) return null
        displace = true
        triedAgents.clear()
        triedAgents += lostAgents
        return choose(triedAgents, true, nowMs)
    }

    private fun refuseNoAgent(nowMs: Long) =
        if (retryAfter.hasBusyAgent || pausedForMs(nowMs) != null) {
            refuse(429, "no capacity", nowMs)
        } else {
            refuse(503, "no upstream available", nowMs)
        }

    /** Ends the request as not run, or with an unknown outcome if an earlier attempt may have run. */
    private fun refuse(
        status: Int,
        reason: String,
        nowMs: Long,
    ) = endWith(
        if (mayHaveRun) {
            DispatchAction.FailUnknown(reason)
        } else {
            DispatchAction.Refuse(status, reason, pausedForMs(nowMs) ?: retryAfter.shortestMs(nowMs))
        },
    )

    private fun endWith(action: DispatchAction): DispatchAction = action.also { ended = true }

    private companion object {
        /** Maximum repetitions of attempts that may have run, for one request, regardless of the retry budget. */
        const val MAX_RETRIES = 4
    }
}
