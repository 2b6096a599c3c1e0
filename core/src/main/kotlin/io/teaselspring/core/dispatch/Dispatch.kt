/*
 * The course of one request on an entry: which agent gets the next offer, what a lost or refused attempt means, and
 * how the request ends. The state machine decides retries, the displacing pass and resumed streams; it does no I/O.
 */
package io.teaselspring.core.dispatch

import io.teaselspring.core.InstanceId

/** What the entry learned about the current attempt. */
public sealed interface DispatchEvent {
    /** The request has arrived; sent once. */
    public data object Begin : DispatchEvent

    /** The agent has queued or started the attempt. */
    public data object Accepted : DispatchEvent

    /** The attempt has certainly not run. */
    public data class NotRun(
        val reason: NotRunCause,
        val retryAfterMs: Long,
    ) : DispatchEvent

    /** Chunks up to [nextOffset] (exclusive) have been passed to the caller. */
    public data class Progress(
        val nextOffset: Long,
    ) : DispatchEvent

    /** The whole answer of [chunkCount] chunks was announced. */
    public data class Finished(
        val chunkCount: Long,
    ) : DispatchEvent

    /** The attempt broke off; it may have run. */
    public data object Lost : DispatchEvent

    /** No byte of the offer was sent. */
    public data object NotSent : DispatchEvent

    /** The caller left. */
    public data object CallerLeft : DispatchEvent
}

/** Why an agent refused, as far as it matters for the next step. */
public enum class NotRunCause { BUSY, DISPLACED, UNAVAILABLE, KEY_WITHDRAWN, NOT_SERVED }

/** What the entry must do next. */
public sealed interface DispatchAction {
    /** Offer the request to [agent] as attempt number [attempt]. */
    public data class Offer(
        val agent: InstanceId,
        val attempt: Int,
        val displace: Boolean,
        val resumeOffset: Long,
    ) : DispatchAction

    /** Wait for the next event. */
    public data object Wait : DispatchAction

    /** Refuse: the request has not run. */
    public data class Refuse(
        val status: Int,
        val reason: String,
        val retryAfterMs: Long,
    ) : DispatchAction

    /** End with an error that says that the outcome is unknown. */
    public data class FailUnknown(
        val reason: String,
    ) : DispatchAction

    /** The answer is whole. */
    public data object Complete : DispatchAction

    /** Cancel the current attempt; nobody waits for it. */
    public data object CancelAttempt : DispatchAction
}

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

/** The state machine of one request. Not thread-safe. */
public class Dispatch(
    private val request: DispatchRequest,
    private val choose: ChooseAgent,
    private val spendRetry: SpendRetry,
) {
    private val tried = mutableSetOf<InstanceId>()
    private var attempt = 0
    private var nextOffset = 0L
    private var displace = false
    private var shortestRetryAfterMs = Long.MAX_VALUE

    /** Applies [event] at [nowMs] and returns what to do. */
    public fun step(
        event: DispatchEvent,
        nowMs: Long,
    ): DispatchAction =
        when (event) {
            DispatchEvent.Begin, DispatchEvent.NotSent -> offerNext(nowMs)
            DispatchEvent.Accepted -> DispatchAction.Wait
            is DispatchEvent.Progress -> DispatchAction.Wait.also { nextOffset = event.nextOffset }
            is DispatchEvent.NotRun -> {
                shortestRetryAfterMs = minOf(shortestRetryAfterMs, event.retryAfterMs)
                if (event.reason == NotRunCause.KEY_WITHDRAWN) refuse(401, "key withdrawn") else offerNext(nowMs)
            }
            is DispatchEvent.Finished -> finish(event, nowMs)
            DispatchEvent.Lost -> lost("the agent's connection was lost", nowMs)
            DispatchEvent.CallerLeft -> DispatchAction.CancelAttempt
        }

    private fun finish(
        event: DispatchEvent.Finished,
        nowMs: Long,
    ) = if (event.chunkCount == nextOffset) DispatchAction.Complete else lost("the answer is incomplete", nowMs)

    private fun lost(
        reason: String,
        nowMs: Long,
    ): DispatchAction {
        val mayRepeat = if (nextOffset > 0) request.resumable else request.idempotent
        return if (mayRepeat &&
            nowMs < request.deadlineMs &&
            spendRetry()
        ) {
            offerNext(nowMs)
        } else {
            DispatchAction.FailUnknown(reason)
        }
    }

    private fun offerNext(nowMs: Long): DispatchAction {
        val agent = choose(tried, displace, nowMs)
        if (agent == null && !displace) {
            displace = true
            tried.clear()
            return offerNext(nowMs)
        }
        if (agent ==
            null
        ) {
            return if (nextOffset >
                0
            ) {
                DispatchAction.FailUnknown("no upstream can resume")
            } else {
                refuse(503, "no capacity")
            }
        }
        tried += agent
        attempt += 1
        return DispatchAction.Offer(agent, attempt, displace, nextOffset)
    }

    private fun refuse(
        status: Int,
        reason: String,
    ) = DispatchAction.Refuse(
        status,
        reason,
        shortestRetryAfterMs.takeIf { it != Long.MAX_VALUE } ?: DEFAULT_RETRY_AFTER_MS,
    )

    private companion object {
        const val DEFAULT_RETRY_AFTER_MS = 1000L
    }
}
