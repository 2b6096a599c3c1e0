/*
 * Runs one request on an entry: offers it to agents as the dispatch state machine decides, with retries, resumption of
 * streams and timeouts, validates the messages of the agents, and streams the response to the caller.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.InstanceId
import io.teaselspring.core.choice.ChoiceRequest
import io.teaselspring.core.choice.chooseAgent
import io.teaselspring.core.choice.pausedRetryAfterMs
import io.teaselspring.core.dispatch.Dispatch
import io.teaselspring.core.dispatch.DispatchAction
import io.teaselspring.core.dispatch.DispatchEvent
import io.teaselspring.core.dispatch.DispatchRequest
import io.teaselspring.core.dispatch.NotRunCause
import io.teaselspring.protocol.CHUNK_WINDOW
import io.teaselspring.protocol.Header
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.NotRunReason
import io.teaselspring.protocol.RunState
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlin.time.Duration.Companion.milliseconds

/** Timeout for an agent to respond to the offer of an idempotent request; the attempt then counts as lost. */
private const val OFFER_TIMEOUT_MS = 1_000L

/** Time after the deadline in which the agent can report the end itself before the entry cancels the attempt. */
private const val DEADLINE_GRACE_MS = 500L

/** Ejection time of an agent that timed out or refused a request for a reason other than load. */
private const val EJECTION_MS = 1_000L

/** Number of chunks between two acknowledgements to the agent. */
private const val ACK_INTERVAL_CHUNKS = CHUNK_WINDOW / 4

/** Statuses of a response that is not informational (RFC 9110, section 15). */
private val FINAL_STATUSES = 200..599

/** A part of a response; the last one is [End] or [Error]. */
internal sealed interface ResponsePart {
    data class Head(
        val status: Int,
        val headers: List<Header>,
    ) : ResponsePart

    class Data(
        val bytes: ByteArray,
    ) : ResponsePart

    data object End : ResponsePart

    data class Error(
        val refusal: Refusal,
    ) : ResponsePart
}

/** Runs [request]. When the collector stops early, the attempt is cancelled. */
internal fun RunContext.run(request: RoutedRequest): Flow<ResponsePart> =
    flow {
        val run = RequestRun(this@run, request, this)
        try {
            run.run()
        } finally {
            run.close()
        }
    }

/** State of one running request. */
private class RequestRun(
    private val context: RunContext,
    private val request: RoutedRequest,
    private val response: FlowCollector<ResponsePart>,
) {
    private val nowMs = context.nowMs
    private val arrivedAtMs = nowMs()
    private val deadlineMs = arrivedAtMs + request.timeoutMs
    private val inbox = context.inboxes.open(request.id, request.caller?.keyId)
    private val dispatch =
        Dispatch(
            DispatchRequest(request.serviceClass.tier, request.idempotent, resumable = request.isChat, deadlineMs),
            choose = ::choose,
            pausedForMs = { pausedRetryAfterMs(context.pool.views(), choiceRequest(false), it, context.random) },
            spendRetry = { context.retries.trySpend(request.organisation) },
        )

    /** The attempt in flight, or null. */
    private var offer: DispatchAction.Offer? = null
    private var offeredAtMs = 0L
    private var lastEventMs = 0L
    private var isAccepted = false
    private var mayHaveRun = false
    private var latencyRecorder: TokenLatencyRecorder? = null
    private var head: ResponsePart.Head? = null
    private var isHeadSent = false
    private var nextOffset = 0L

    suspend fun run() {
        val keyId = request.caller?.keyId
        var action: DispatchAction? =
            if (keyId != null && keyId in context.withdrawnKeys()) endKeyWithdrawn() else step(DispatchEvent.Begin)
        while (action != null) {
            action =
                when (action) {
                    is DispatchAction.Offer -> offer(action)
                    DispatchAction.Wait -> awaitEvent()
                    is DispatchAction.Refuse -> end(action.refusal())
                    is DispatchAction.FailUnknown -> end(outcomeUnknown(action.reason))
                    DispatchAction.Complete -> complete()
                    DispatchAction.CancelAttempt -> null
                }
        }
    }

    /** Closes the inbox and cancels an attempt in flight; called once at the end, also when the caller disconnects. */
    fun close() {
        context.inboxes.close(request.id)
        cancelOffer()
    }

    private fun step(event: DispatchEvent) = dispatch.step(event, nowMs())

    private fun choose(
        tried: Set<InstanceId>,
        displace: Boolean,
        now: Long,
    ): InstanceId? {
        val views = context.pool.latencies.apply(request.destination, context.pool.views())
        return chooseAgent(views, choiceRequest(displace), context.localDataCentre, tried, now, context.random)
    }

    private fun choiceRequest(displace: Boolean) =
        request.destination.run { ChoiceRequest(upstream, model, request.serviceClass.tier, prefixHash, displace) }

    private suspend fun offer(next: DispatchAction.Offer): DispatchAction {
        offer = next
        offeredAtMs = nowMs()
        lastEventMs = offeredAtMs
        isAccepted = false
        val submit = request.submit(next.attempt, next.displace, next.resumeOffset, offeredAtMs - arrivedAtMs)
        context.observer.onOffer(request, next)
        context.pool.latencies.recordOffer(request.destination, next.agent)
        latencyRecorder = if (request.isChat) latencyRecorderFor(next.agent) else null
        if (context.pool.submit(next.agent, submit)) return DispatchAction.Wait
        offer = null
        return step(DispatchEvent.NotSent)
    }

    private fun latencyRecorderFor(agent: InstanceId) =
        TokenLatencyRecorder(context.pool.latencies, request.destination, agent, nowMs, context.pool.isBusy(agent))

    private suspend fun awaitEvent(): DispatchAction? {
        val waitMs = minOf(deadlineMs + DEADLINE_GRACE_MS, attemptTimeoutAtMs()) - nowMs()
        val event = inbox.receive(maxOf(1, waitMs).milliseconds)
        val current = offer
        return when {
            event == null -> handleTimeout()
            event is InboxEvent.KeyWithdrawn -> endKeyWithdrawn()
            event is InboxEvent.AgentLost && event.attempt == current?.attempt -> handleLost()
            event is InboxEvent.FromAgent && event.attempt == current?.attempt -> handleMessage(event.message)
            // A late message of an abandoned attempt is ignored.
            else -> DispatchAction.Wait
        }
    }

    private fun attemptTimeoutAtMs(): Long =
        when {
            !request.idempotent -> Long.MAX_VALUE
            !isAccepted -> offeredAtMs + OFFER_TIMEOUT_MS
            else -> lastEventMs + context.streamIdleMs
        }

    private suspend fun handleTimeout(): DispatchAction? {
        val now = nowMs()
        return when {
            now >= deadlineMs + DEADLINE_GRACE_MS -> end(outcomeUnknown("the deadline has passed"))
            now >= attemptTimeoutAtMs() -> {
                offer?.let { context.pool.eject(it.agent, EJECTION_MS) }
                cancelOffer()
                handleLost()
            }
            else -> DispatchAction.Wait
        }
    }

    private suspend fun handleMessage(message: Message): DispatchAction? {
        lastEventMs = nowMs()
        return when (message) {
            is Message.Accepted -> step(DispatchEvent.Accepted).also { isAccepted = true }
            is Message.Started -> handleStarted(message)
            is Message.Chunk -> handleChunk(message)
            is Message.NotRun -> handleNotRun(message)
            is Message.Finished -> handleFinished(message)
            is Message.Failed -> handleFailed(message)
            else -> DispatchAction.Wait
        }
    }

    private fun handleStarted(message: Message.Started): DispatchAction {
        isAccepted = true
        mayHaveRun = true
        val isOfOtherHead = isHeadSent && message.status != head?.status
        if (message.status !in FINAL_STATUSES || isOfOtherHead) {
            cancelOffer()
            return handleLost()
        }
        if (!isHeadSent) head = ResponsePart.Head(message.status, message.headers)
        return DispatchAction.Wait
    }

    private suspend fun handleChunk(message: Message.Chunk): DispatchAction {
        if (message.offset != nextOffset || head == null) {
            cancelOffer()
            return handleLost()
        }
        val part = ResponsePart.Data(message.bytes)
        if (nextOffset == 0L) context.observer.onFirstToken(request, nowMs() - arrivedAtMs)
        sendHead()
        latencyRecorder?.record { response.emit(part) } ?: response.emit(part)
        nextOffset += 1
        lastEventMs = nowMs()
        if (nextOffset % ACK_INTERVAL_CHUNKS == 0L) {
            offer?.let { context.pool.acknowledge(it.agent, request.id, it.attempt, nextOffset) }
        }
        return step(DispatchEvent.Progress(nextOffset))
    }

    private suspend fun sendHead() {
        if (isHeadSent) return
        isHeadSent = true
        head?.let { response.emit(it) }
    }

    private fun handleNotRun(message: Message.NotRun): DispatchAction {
        offer?.let { if (message.reason.isUnavailable()) context.pool.eject(it.agent, EJECTION_MS) }
        offer = null
        return step(DispatchEvent.NotRun(message.reason.cause(), message.retryAfterMs))
    }

    private fun handleFinished(message: Message.Finished): DispatchAction {
        offer = null
        // Without status and headers there is no response to send, whatever the chunk count is.
        return if (head == null) step(DispatchEvent.Lost) else step(DispatchEvent.Finished(message.chunkCount))
    }

    private suspend fun handleFailed(message: Message.Failed): DispatchAction? {
        mayHaveRun = mayHaveRun || message.runState == RunState.UNKNOWN
        offer = null
        return when {
            message.keyWithdrawn -> endKeyWithdrawn()
            message.runState == RunState.NOT_RUN -> step(DispatchEvent.NotRun(NotRunCause.UNAVAILABLE, 0))
            else -> handleLost()
        }
    }

    private fun handleLost(): DispatchAction {
        mayHaveRun = true
        offer = null
        return step(DispatchEvent.Lost)
    }

    private suspend fun endKeyWithdrawn(): DispatchAction? {
        val hasNotRun = offer == null && !mayHaveRun
        val executionStatus = if (hasNotRun) ExecutionStatus.NOT_RUN else ExecutionStatus.OUTCOME_UNKNOWN
        return end(Refusal(401, "key_withdrawn", "the key was withdrawn", executionStatus))
    }

    private suspend fun complete(): DispatchAction? {
        sendHead()
        context.retries.recordSuccess(request.organisation)
        response.emit(ResponsePart.End)
        return null
    }

    private suspend fun end(refusal: Refusal): DispatchAction? {
        cancelOffer()
        response.emit(ResponsePart.Error(refusal))
        return null
    }

    private fun cancelOffer() {
        offer?.let { context.pool.cancel(it.agent, request.id, it.attempt) }
        offer = null
    }
}

private fun DispatchAction.Refuse.refusal(): Refusal {
    val type = if (status == 401) "key_withdrawn" else "overloaded"
    return Refusal(status, type, reason, ExecutionStatus.NOT_RUN, retryAfterMs)
}

private fun outcomeUnknown(reason: String) = Refusal(502, "outcome_unknown", reason, ExecutionStatus.OUTCOME_UNKNOWN)

private fun NotRunReason.isUnavailable() = this == NotRunReason.UPSTREAM_DOWN || this == NotRunReason.DRAINING

private fun NotRunReason.cause(): NotRunCause =
    when (this) {
        NotRunReason.TOO_LATE, NotRunReason.QUEUE_FULL, NotRunReason.DUPLICATE -> NotRunCause.BUSY
        NotRunReason.DISPLACED -> NotRunCause.DISPLACED
        NotRunReason.DRAINING, NotRunReason.UPSTREAM_DOWN -> NotRunCause.UNAVAILABLE
        NotRunReason.KEY_WITHDRAWN -> NotRunCause.KEY_WITHDRAWN
        NotRunReason.NOT_SERVED -> NotRunCause.NOT_SERVED
    }
