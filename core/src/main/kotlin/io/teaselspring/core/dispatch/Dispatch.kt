/*
 * The course of one request on an entry: which agent gets the next offer, what a lost or refused attempt means, and
 * how the request ends. The state machine decides retries, the displacing pass and resumed streams; it does no I/O.
 */
package io.teaselspring.core.dispatch

import io.teaselspring.core.InstanceId

/**
 * Properties of the request that the decisions depend on. [idempotent] work may be tried again after it may have run;
 * a [resumable] stream continues at the caller's offset on another agent.
 */
public data class DispatchRequest(
    val tier: Int,
    val idempotent: Boolean,
    val resumable: Boolean,
    val deadlineMs: Long,
)

/**
 * Chooses the agent for the next offer among those not in `tried`, or null when every eligible agent has been tried.
 * With `displace` only agents that have work of a lower tier need be returned.
 */
public typealias ChooseAgent = (tried: Set<InstanceId>, displace: Boolean, nowMs: Long) -> InstanceId?

/** Takes one retry from the budget; false when it is spent. */
public typealias SpendRetry = () -> Boolean

/**
 * The state machine of one request. Not thread-safe. Events must belong to the current attempt; the caller drops those
 * of earlier attempts. After an action that ends the request every event is answered with Wait.
 *
 * An offer that was certainly not run leads to the next agent and costs nothing; each agent gets at most one such offer
 * per pass. An attempt that may have run is repeated only when that is safe, at the cost of one retry from the budget.
 */
public class Dispatch(
    private val request: DispatchRequest,
    private val choose: ChooseAgent,
    private val spendRetry: SpendRetry,
) {
    private val tried = mutableSetOf<InstanceId>()
    private val lost = mutableSetOf<InstanceId>()
    private val waits = RetryAfter()
    private var current: InstanceId? = null
    private var attempt = 0
    private var nextOffset = 0L
    private var displace = false
    private var retries = 0
    private var mayHaveRun = false
    private var over = false

    /** Applies [event] at [nowMs] and returns what to do. */
    public fun step(
        event: DispatchEvent,
        nowMs: Long,
    ): DispatchAction {
        if (over) return DispatchAction.Wait
        return when (event) {
            DispatchEvent.Begin, DispatchEvent.NotSent -> offerNext(nowMs)
            DispatchEvent.Accepted -> DispatchAction.Wait
            is DispatchEvent.Progress -> DispatchAction.Wait.also { nextOffset = maxOf(nextOffset, event.nextOffset) }
            is DispatchEvent.NotRun -> refused(event, nowMs)
            is DispatchEvent.Finished -> finish(event, nowMs)
            DispatchEvent.Lost -> lost("the agent's connection was lost", nowMs)
            DispatchEvent.CallerLeft -> end(DispatchAction.CancelAttempt)
        }
    }

    private fun refused(
        event: DispatchEvent.NotRun,
        nowMs: Long,
    ): DispatchAction {
        current?.let { waits.refused(it, event, nowMs) }
        return if (event.reason == NotRunCause.KEY_WITHDRAWN) {
            refuse(401, "key withdrawn", nowMs)
        } else {
            offerNext(nowMs)
        }
    }

    private fun finish(
        event: DispatchEvent.Finished,
        nowMs: Long,
    ) = if (event.chunkCount == nextOffset) {
        end(DispatchAction.Complete)
    } else {
        lost("the answer is incomplete", nowMs)
    }

    private fun lost(
        reason: String,
        nowMs: Long,
    ): DispatchAction {
        mayHaveRun = true
        current?.let { lost += it }
        val safe = request.resumable || (request.idempotent && nextOffset == 0L)
        val repeats = safe && nowMs < request.deadlineMs && retries < MAX_RETRIES
        if (!repeats || !spendRetry()) return end(DispatchAction.FailUnknown(reason))
        retries += 1
        displace = false
        tried.clear()
        tried += lost
        return offerNext(nowMs)
    }

    private fun offerNext(nowMs: Long): DispatchAction {
        if (nowMs >= request.deadlineMs) return refuse(504, "deadline exceeded", nowMs)
        val agent = choose(tried, displace, nowMs) ?: startDisplacingPass(nowMs)
        if (agent == null || agent in tried) return noAgentLeft(nowMs)
        tried += agent
        current = agent
        attempt += 1
        return DispatchAction.Offer(agent, attempt, displace, nextOffset)
    }

    private fun startDisplacingPass(nowMs: Long): InstanceId? {
        if (displace) return null
        displace = true
        tried.clear()
        tried += lost
        return choose(tried, true, nowMs)
    }

    private fun noAgentLeft(nowMs: Long) =
        if (waits.busy) refuse(429, "no capacity", nowMs) else refuse(503, "no upstream available", nowMs)

    /** Ends the request as not run, or as unknown if an earlier attempt may have run. */
    private fun refuse(
        status: Int,
        reason: String,
        nowMs: Long,
    ) = end(
        if (mayHaveRun) {
            DispatchAction.FailUnknown(reason)
        } else {
            DispatchAction.Refuse(status, reason, waits.shortestMs(nowMs))
        },
    )

    private fun end(action: DispatchAction): DispatchAction = action.also { over = true }

    private companion object {
        /** Attempts that may have run are repeated at most this often for one request, whatever the budget holds. */
        const val MAX_RETRIES = 4
    }
}
