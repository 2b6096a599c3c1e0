/*
 * The course of one request on an entry: offers it to agents as the dispatch state machine decides, checks what comes
 * back, and gives the response to the caller part by part.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.InstanceId
import io.teaselspring.core.choice.ChoiceRequest
import io.teaselspring.core.choice.chooseAgent
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
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds

/** An agent that does not answer an offer of repeatable work within this time is given up. */
private const val OFFER_LIMIT_MS = 1_000L

/** What the agent gets on top of the deadline to report the end itself, before the entry gives the attempt up. */
private const val DEADLINE_GRACE_MS = 500L

/** How long an agent is ejected after it could not take a request for a reason other than load. */
private const val EJECTION_MS = 1_000L

/** Chunks between two reports to the agent of what the caller has received. */
private const val RECEIVED_INTERVAL = CHUNK_WINDOW / 4

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

/** One run of one request. */
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
            spendRetry = { context.retries.spend(request.organisation) },
        )

    /** The current attempt, null when none is open. */
    private var offer: DispatchAction.Offer? = null
    private var offeredAtMs = 0L
    private var lastEventMs = 0L
    private var isAccepted = false
    private var mayHaveRun = false
    private var times: TokenTimes? = null
    private var head: ResponsePart.Head? = null
    private var isHeadSent = false
    private var nextOffset = 0L

    suspend fun run() {
        val keyId = request.caller?.keyId
        var action: DispatchAction? =
            if (keyId != null && keyId in context.withdrawnKeys()) keyWithdrawn() else step(DispatchEvent.Begin)
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

    /** Cancels what is open; called once at the end, also when the caller has left. */
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
        val to = request.destination
        val choice = ChoiceRequest(to.upstream, to.model, request.serviceClass.tier, to.prefixHash, displace)
        val views = context.pool.speeds.apply(to, context.pool.views())
        return chooseAgent(views, choice, context.localDataCentre, tried, now, context.random)
    }

    private suspend fun offer(next: DispatchAction.Offer): DispatchAction {
        offer = next
        offeredAtMs = nowMs()
        lastEventMs = offeredAtMs
        isAccepted = false
        val submit = request.submit(next.attempt, next.displace, next.resumeOffset, offeredAtMs - arrivedAtMs)
        context.observer.offered(request, next)
        context.pool.speeds.offered(request.destination, next.agent)
        times = if (request.isChat) timesOn(next.agent) else null
        if (context.pool.submit(next.agent, submit)) return DispatchAction.Wait
        offer = null
        return step(DispatchEvent.NotSent)
    }

    private fun timesOn(agent: InstanceId) =
        TokenTimes(context.pool.speeds, request.destination, agent, nowMs, context.pool.isBusy(agent))

    private suspend fun awaitEvent(): DispatchAction? {
        val waitMs = minOf(deadlineMs + DEADLINE_GRACE_MS, attemptLimitMs()) - nowMs()
        val event = withTimeoutOrNull(maxOf(1, waitMs).milliseconds) { inbox.receive() }
        val current = offer
        return when {
            event == null -> timedOut()
            event is InboxEvent.KeyWithdrawn -> keyWithdrawn()
            event is InboxEvent.AgentLost && event.attempt == current?.attempt -> lost()
            event is InboxEvent.FromAgent && event.attempt == current?.attempt -> received(event.message)
            // A late message of an attempt that was given up.
            else -> DispatchAction.Wait
        }
    }

    private fun attemptLimitMs(): Long =
        when {
            !request.idempotent -> Long.MAX_VALUE
            !isAccepted -> offeredAtMs + OFFER_LIMIT_MS
            else -> lastEventMs + context.streamIdleMs
        }

    private suspend fun timedOut(): DispatchAction? {
        val now = nowMs()
        return when {
            now >= deadlineMs + DEADLINE_GRACE_MS -> end(outcomeUnknown("the deadline has passed"))
            now >= attemptLimitMs() -> {
                offer?.let { context.pool.eject(it.agent, EJECTION_MS) }
                cancelOffer()
                lost()
            }
            else -> DispatchAction.Wait
        }
    }

    private suspend fun received(message: Message): DispatchAction? {
        lastEventMs = nowMs()
        return when (message) {
            is Message.Accepted -> step(DispatchEvent.Accepted).also { isAccepted = true }
            is Message.Started -> started(message)
            is Message.Chunk -> chunk(message)
            is Message.NotRun -> notRun(message)
            is Message.Finished -> finished(message)
            is Message.Failed -> failed(message)
            else -> DispatchAction.Wait
        }
    }

    private fun started(message: Message.Started): DispatchAction {
        isAccepted = true
        mayHaveRun = true
        if (isHeadSent && message.status != head?.status) {
            cancelOffer()
            return lost()
        }
        if (!isHeadSent) head = ResponsePart.Head(message.status, message.headers)
        return DispatchAction.Wait
    }

    private suspend fun chunk(message: Message.Chunk): DispatchAction {
        if (message.offset != nextOffset || head == null) {
            cancelOffer()
            return lost()
        }
        val part = ResponsePart.Data(message.bytes)
        if (nextOffset == 0L) context.observer.firstToken(request, nowMs() - arrivedAtMs)
        sendHead()
        times?.token { response.emit(part) } ?: response.emit(part)
        nextOffset += 1
        lastEventMs = nowMs()
        if (nextOffset % RECEIVED_INTERVAL == 0L) {
            offer?.let { context.pool.received(it.agent, request.id, it.attempt, nextOffset) }
        }
        return step(DispatchEvent.Progress(nextOffset))
    }

    private suspend fun sendHead() {
        if (isHeadSent) return
        isHeadSent = true
        head?.let { response.emit(it) }
    }

    private fun notRun(message: Message.NotRun): DispatchAction {
        offer?.let { if (message.reason.isUnavailable()) context.pool.eject(it.agent, EJECTION_MS) }
        offer = null
        return step(DispatchEvent.NotRun(message.reason.cause(), message.retryAfterMs))
    }

    private fun finished(message: Message.Finished): DispatchAction {
        offer = null
        // A head that never came cannot be given to the caller, whatever the count says.
        return if (head == null) step(DispatchEvent.Lost) else step(DispatchEvent.Finished(message.chunkCount))
    }

    private suspend fun failed(message: Message.Failed): DispatchAction? {
        mayHaveRun = mayHaveRun || message.runState == RunState.UNKNOWN
        offer = null
        return when {
            message.keyWithdrawn -> keyWithdrawn()
            message.runState == RunState.NOT_RUN -> step(DispatchEvent.NotRun(NotRunCause.UNAVAILABLE, 0))
            else -> lost()
        }
    }

    private fun lost(): DispatchAction {
        mayHaveRun = true
        offer = null
        return step(DispatchEvent.Lost)
    }

    private suspend fun keyWithdrawn(): DispatchAction? {
        val ran = if (offer == null && !mayHaveRun) Ran.NOT_RUN else Ran.OUTCOME_UNKNOWN
        return end(Refusal(401, "key_withdrawn", "the key was withdrawn", ran))
    }

    private suspend fun complete(): DispatchAction? {
        sendHead()
        context.retries.succeeded(request.organisation)
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
    return Refusal(status, type, reason, Ran.NOT_RUN, retryAfterMs)
}

private fun outcomeUnknown(reason: String) = Refusal(502, "outcome_unknown", reason, Ran.OUTCOME_UNKNOWN)

private fun NotRunReason.isUnavailable() = this == NotRunReason.UPSTREAM_DOWN || this == NotRunReason.DRAINING

private fun NotRunReason.cause(): NotRunCause =
    when (this) {
        NotRunReason.TOO_LATE, NotRunReason.QUEUE_FULL, NotRunReason.DUPLICATE -> NotRunCause.BUSY
        NotRunReason.DISPLACED -> NotRunCause.DISPLACED
        NotRunReason.DRAINING, NotRunReason.UPSTREAM_DOWN -> NotRunCause.UNAVAILABLE
        NotRunReason.KEY_WITHDRAWN -> NotRunCause.KEY_WITHDRAWN
        NotRunReason.NOT_SERVED -> NotRunCause.NOT_SERVED
    }
