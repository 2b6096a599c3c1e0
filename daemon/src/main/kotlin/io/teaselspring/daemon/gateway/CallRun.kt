/*
 * One call from its decision to its last byte: authorisation by the configuration in force, the choice of
 * instances, repeats where a repeat cannot run a call twice, and the route's timeout. A call that is given up is
 * answered at once.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import io.teaselspring.core.InstanceId
import io.teaselspring.core.placement.PlacementRequest
import io.teaselspring.core.placement.groupOf
import io.teaselspring.core.placement.placeCall
import io.teaselspring.core.routing.CallConfig
import io.teaselspring.core.routing.CallDecision
import io.teaselspring.core.routing.CallKind
import io.teaselspring.core.routing.pickUpstream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** Runs [request] and answers it through [reply]. */
internal class CallRun(
    private val gateway: Gateway,
    private val request: CallRequest,
    private val reply: CallerReply,
) : CallHandle,
    WaitingCall {
    private val names = gateway.settings.headers
    private val requestId = request.headers[names.requestId].orEmpty()
    private val arrivedMs = gateway.nowMs()
    private val prompt = parsePromptParts(request.headers[names.promptParts])
    private val tried = LinkedHashSet<InstanceId>()
    private lateinit var call: AuthorisedCall
    private var endsAtMs = Long.MAX_VALUE
    private var timer: ScheduledFuture<*>? = null
    private var attempt: CallAttempt? = null
    private var hasBegunAnswer = false
    private var framer: EventFramer? = null
    private var isOver = false
    private var queuedAs: Long? = null

    fun start() {
        val config = gateway.config.current
        when {
            requestId.isEmpty() -> answer(HttpResponseStatus.BAD_REQUEST, "no request id")
            config == null -> refuse("no configuration yet")
            else ->
                gateway.authorise(config, request) { newest, decision ->
                    if (!isOver) carryOut(newest, decision)
                }
        }
    }

    private fun carryOut(
        config: CallConfig,
        decision: CallDecision?,
    ) {
        when (decision) {
            null -> refuse("configuration too old")
            CallDecision.NoRoute -> answer(HttpResponseStatus.NOT_FOUND, "no route")
            CallDecision.UnknownKey -> answer(HttpResponseStatus.UNAUTHORIZED, "unknown key")
            is CallDecision.Allowed -> begin(config, decision)
        }
    }

    private fun begin(
        config: CallConfig,
        decision: CallDecision.Allowed,
    ) {
        val upstream = pickUpstream(decision.route.upstreams, gateway.random)
        if (upstream == null) {
            refuse("route without upstream")
            return
        }
        call =
            AuthorisedCall(
                config.version,
                gateway.config.ageMs(),
                decision,
                upstream,
                groupOf(decision.route.maxPauseMs, config.pausesOf(upstream)),
            )
        val budgetMs = request.headers[names.timeBudgetMs]?.toLongOrNull() ?: Long.MAX_VALUE
        val limitMs = minOf(decision.route.timeoutMs, budgetMs)
        endsAtMs = arrivedMs + limitMs
        if (gateway.stop?.takes(gateway.nowMs(), endsAtMs) == false) {
            refuse("stopping")
            return
        }
        timer = gateway.loop.schedule({ timedOut() }, limitMs, TimeUnit.MILLISECONDS)
        if (prompt.isEmpty()) next() else enqueue()
    }

    private fun enqueue() {
        val id = gateway.queues.nextId()
        queuedAs = id
        gateway.queues.add(call.upstream, call.queued(id, prompt, arrivedMs, endsAtMs), this)
    }

    override fun startAt(
        instance: InstanceState,
        unreadTokens: Long,
    ) {
        queuedAs = null
        offer(instance, unreadTokens)
    }

    override fun refusedByQueue() {
        queuedAs = null
        refuse("waited too long")
    }

    /** Offers the call to the next instance, or refuses it when there is none. */
    private fun next() {
        val now = gateway.nowMs()
        val all = gateway.instances.of(call.upstream)
        val silenceMs = if (call.route.kind == CallKind.STREAM) STREAM_SILENCE_MS else PLAIN_SILENCE_MS
        val shared = prompt.getOrNull(prompt.size - 2)?.id ?: prompt.firstOrNull()?.id
        val chosen =
            placeCall(
                all.map { it.candidate(now, silenceMs) },
                PlacementRequest(shared, call.group, gateway.settings.dataCentre),
                tried,
                gateway.random,
            )
        val instance = chosen?.let { one -> all.firstOrNull { it.registered.id == one.id } }
        if (instance == null) {
            refuse(if (tried.isEmpty()) "no instance" else "no further instance")
            return
        }
        offer(instance, instance.memory.unreadTokens(prompt, isHome = false))
    }

    private fun offer(
        instance: InstanceState,
        unreadTokens: Long,
    ) {
        tried += instance.registered.id
        attempt =
            CallAttempt(gateway, this, call, instance, unreadTokens).also {
                it.start(request, endsAtMs, framer?.lastEventId)
            }
    }

    /** The attempt has not run. [sent] tells whether the instance has seen it. */
    fun notRun(
        reason: String,
        sent: Boolean,
        retryAfter: String?,
    ) {
        val offers = tried.size
        if (sent && offers >= call.route.maxAttempts) {
            refuse("refused by upstream: $reason", retryAfter)
        } else if (offers >= MAX_OFFERS || (sent && !spendRetry())) {
            refuse("no attempt left: $reason", retryAfter)
        } else {
            log("call_retried", "not run: $reason")
            next()
        }
    }

    /** The attempt may have run and brought no success; [failed] is the instance's own failure, if it sent one. */
    fun failed(
        reason: String,
        failed: BufferedAnswer?,
    ) {
        val mayRepeat = call.route.isRepeatable && tried.size < call.route.maxAttempts && gateway.nowMs() < endsAtMs
        if (mayRepeat && spendRetry()) {
            failed?.release()
            framer?.dropPartial()
            log("call_retried", reason)
            next()
        } else if (failed != null && !hasBegunAnswer) {
            answered("failed_by_upstream", failed.status.code())
            reply.answer(failed.status, failed.headers, failed.body)
        } else {
            failed?.release()
            answer(HttpResponseStatus.BAD_GATEWAY, reason)
        }
    }

    private fun spendRetry() = gateway.retryBudget(call.upstream).spend(call.organisation, gateway.nowMs())

    /** The head of a stream that is passed on as it arrives. */
    fun streamBegins(answer: BufferedAnswer) {
        // A stream that goes on at another instance keeps the head of its first one.
        if (hasBegunAnswer) return
        hasBegunAnswer = true
        if (call.route.isResumable) framer = EventFramer()
        gateway.metrics.answered(call.route.name, (gateway.nowMs() - arrivedMs).milliseconds)
        reply.head(answer.status, answer.headers)
    }

    /** A piece of the stream, which stays the attempt's. */
    fun streamPiece(piece: ByteBuf) {
        val framer = framer
        if (framer == null) reply.body(piece.retain()) else framer.add(piece)?.let { reply.body(it) }
    }

    /** The instance has ended the stream; false if it did so within an event. */
    fun streamEnds(): Boolean {
        if (framer?.hasPartial == true) return false
        gateway.retryBudget(call.upstream).succeeded(call.organisation, gateway.nowMs())
        finish("answered", "200")
        reply.end()
        return true
    }

    /** A whole successful answer. */
    fun succeeded(answer: BufferedAnswer) {
        gateway.retryBudget(call.upstream).succeeded(call.organisation, gateway.nowMs())
        answered("answered", answer.status.code())
        reply.answer(answer.status, answer.headers, answer.body)
    }

    private fun answered(
        outcome: String,
        status: Int,
    ) {
        gateway.metrics.answered(call.route.name, (gateway.nowMs() - arrivedMs).milliseconds)
        finish(outcome, status.toString())
    }

    private fun timedOut() {
        if (isOver) return
        attempt?.cancel()
        answer(HttpResponseStatus.GATEWAY_TIMEOUT, "timeout")
    }

    override fun callerLeft() {
        if (isOver) return
        attempt?.cancel()
        finish("caller_left", "after ${gateway.nowMs() - arrivedMs} ms")
    }

    override fun writabilityChanged(isWritable: Boolean) {
        attempt?.readOn(isWritable)
    }

    /** Says that the call has not run and when to come back. */
    private fun refuse(
        reason: String,
        retryAfter: String? = null,
    ) {
        val headers = DefaultHttpHeaders()
        headers["Retry-After"] = retryAfter ?: retryAfterSeconds(gateway.random)
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, headers)
    }

    /** Ends the call with an answer of this entry; an answer that has begun is cut visibly instead. */
    private fun answer(
        status: HttpResponseStatus,
        reason: String,
        headers: DefaultHttpHeaders = DefaultHttpHeaders(),
    ) {
        if (hasBegunAnswer) {
            finish("cut", reason)
            reply.abort()
            return
        }
        val isRefusal = status == HttpResponseStatus.SERVICE_UNAVAILABLE
        finish(if (isRefusal) "refused" else "status_${status.code()}", reason)
        headers["Content-Type"] = "application/json"
        if (requestId.isNotEmpty()) headers[names.requestId] = requestId
        reply.answer(status, headers, ownAnswerBody(status, reason, requestId, tried.isEmpty() || isRefusal))
    }

    private fun finish(
        outcome: String,
        reason: String,
    ) {
        isOver = true
        queuedAs?.let { gateway.queues.remove(call.upstream, it) }
        timer?.cancel(false)
        framer?.dropPartial()
        gateway.metrics.call(if (::call.isInitialized) call.route.name else "none", outcome)
        log("call_ended", reason, outcome)
        request.body.release()
    }

    private fun log(
        event: String,
        reason: String,
        outcome: String? = null,
    ) {
        val known = if (::call.isInitialized) call else null
        gateway.logCall(event, requestId, known, CallLogDetails(reason, outcome, tried, gateway.nowMs() - arrivedMs))
    }

    private companion object {
        /** Most instances that one call is offered to when none of them has seen it. */
        const val MAX_OFFERS = 4

        /** As [STREAM_SILENCE_MS], for calls that take milliseconds. */
        const val PLAIN_SILENCE_MS = 300L
    }
}
