/*
 * One request from its decision to its last byte: authorisation by the configuration in force, the choice of
 * instances, repeats where a repeat cannot run a request twice, and the route's timeout. A request that is given up is
 * answered at once.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import io.teaselspring.core.InstanceId
import io.teaselspring.core.placement.PlacementRequest
import io.teaselspring.core.placement.chooseInstance
import io.teaselspring.core.placement.latencyGroupOf
import io.teaselspring.core.routing.RouteKind
import io.teaselspring.core.routing.RoutingConfig
import io.teaselspring.core.routing.RoutingDecision
import io.teaselspring.core.routing.pickUpstream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs [request] at upstream instances and responds through [writer]. The entry package's RequestRun runs a request
 * through agents.
 */
internal class RequestExecution(
    private val gateway: Gateway,
    private val request: IncomingRequest,
    private val writer: ResponseWriter,
) : RequestHandle,
    WaitingRequest {
    private val names = gateway.settings.headers
    private val requestId = request.headers[names.requestId].orEmpty()
    private val arrivedMs = gateway.nowMs()
    private val prompt = parsePromptParts(request.headers[names.promptParts])
    private val tried = LinkedHashSet<InstanceId>()
    private lateinit var authorised: AuthorisedRequest
    private var endsAtMs = Long.MAX_VALUE
    private var timer: ScheduledFuture<*>? = null
    private var attempt: InstanceAttempt? = null
    private var hasResponseBegun = false
    private var framer: EventFramer? = null
    private var isOver = false
    private var queuedAs: Long? = null

    fun start() {
        val config = gateway.config.current
        when {
            requestId.isEmpty() -> respond(HttpResponseStatus.BAD_REQUEST, "no request id")
            config == null -> refuse("no configuration yet")
            else ->
                gateway.authorise(config, request) { newest, decision ->
                    if (!isOver) handleDecision(newest, decision)
                }
        }
    }

    private fun handleDecision(
        config: RoutingConfig,
        decision: RoutingDecision?,
    ) {
        when (decision) {
            null -> refuse("configuration too old")
            RoutingDecision.NoRoute -> respond(HttpResponseStatus.NOT_FOUND, "no route")
            RoutingDecision.UnknownKey -> respond(HttpResponseStatus.UNAUTHORIZED, "unknown key")
            is RoutingDecision.Allowed -> begin(config, decision)
        }
    }

    private fun begin(
        config: RoutingConfig,
        decision: RoutingDecision.Allowed,
    ) {
        val upstream = pickUpstream(decision.route.upstreams, gateway.random)
        if (upstream == null) {
            refuse("route without upstream")
            return
        }
        authorised =
            AuthorisedRequest(
                config.version,
                gateway.config.ageMs(),
                decision,
                upstream,
                latencyGroupOf(decision.route.maxEventGapMs, config.eventGapsOf(upstream)),
            )
        val budgetMs = request.headers[names.timeBudgetMs]?.toLongOrNull() ?: Long.MAX_VALUE
        val limitMs = minOf(decision.route.timeoutMs, budgetMs)
        endsAtMs = arrivedMs + limitMs
        if (gateway.stop?.accepts(gateway.nowMs(), endsAtMs) == false) {
            refuse("stopping")
            return
        }
        timer = gateway.loop.schedule({ timedOut() }, limitMs, TimeUnit.MILLISECONDS)
        if (prompt.isEmpty()) next() else enqueue()
    }

    private fun enqueue() {
        val id = gateway.queues.nextId()
        queuedAs = id
        gateway.queues.add(authorised.upstream, authorised.queued(id, prompt, arrivedMs, endsAtMs), this)
    }

    override fun startAt(
        instance: UpstreamInstance,
        uncachedTokens: Long,
    ) {
        queuedAs = null
        offer(instance, uncachedTokens)
    }

    override fun refusedByQueue() {
        queuedAs = null
        refuse("waited too long")
    }

    /** Offers the request to the next instance, or refuses it when there is none. */
    private fun next() {
        val now = gateway.nowMs()
        val all = gateway.instances.of(authorised.upstream)
        val silenceMs = if (authorised.route.kind == RouteKind.STREAM) STREAM_SILENCE_MS else PLAIN_SILENCE_MS
        val shared = prompt.getOrNull(prompt.size - 2)?.id ?: prompt.firstOrNull()?.id
        val chosen =
            chooseInstance(
                all.map { it.candidate(now, silenceMs) },
                PlacementRequest(shared, authorised.group, gateway.settings.dataCentre),
                tried,
                gateway.random,
            )
        val instance = chosen?.let { one -> all.firstOrNull { it.registered.id == one.id } }
        if (instance == null) {
            refuse(if (tried.isEmpty()) "no instance" else "no further instance")
            return
        }
        offer(instance, instance.prefixCache.uncachedTokens(prompt, isPreferred = false))
    }

    private fun offer(
        instance: UpstreamInstance,
        uncachedTokens: Long,
    ) {
        tried += instance.registered.id
        attempt =
            InstanceAttempt(gateway, this, authorised, instance, uncachedTokens).also {
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
        if (sent && offers >= authorised.route.maxAttempts) {
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
        failed: BufferedResponse?,
    ) {
        val route = authorised.route
        val mayRepeat = route.isRepeatable && tried.size < route.maxAttempts && gateway.nowMs() < endsAtMs
        if (mayRepeat && spendRetry()) {
            failed?.release()
            framer?.dropPartial()
            log("call_retried", reason)
            next()
        } else if (failed != null && !hasResponseBegun) {
            responded("failed_by_upstream", failed.status.code())
            writer.respond(failed.status, failed.headers, failed.body)
        } else {
            failed?.release()
            respond(HttpResponseStatus.BAD_GATEWAY, reason)
        }
    }

    private fun spendRetry() = gateway.retryBudget(authorised.upstream).spend(authorised.organisation, gateway.nowMs())

    /** The head of a stream that is passed on as it arrives. */
    fun streamBegins(response: BufferedResponse) {
        // A stream that goes on at another instance keeps the head of its first one.
        if (hasResponseBegun) return
        hasResponseBegun = true
        if (authorised.route.isResumable) framer = EventFramer()
        gateway.metrics.responded(authorised.route.name, (gateway.nowMs() - arrivedMs).milliseconds)
        writer.head(response.status, response.headers)
    }

    /** A piece of the stream, which stays the attempt's. */
    fun streamPiece(piece: ByteBuf) {
        val framer = framer
        if (framer == null) writer.body(piece.retain()) else framer.add(piece)?.let { writer.body(it) }
    }

    /** The instance has ended the stream; false if it did so within an event. */
    fun streamEnds(): Boolean {
        if (framer?.hasPartial == true) return false
        gateway.retryBudget(authorised.upstream).succeeded(authorised.organisation, gateway.nowMs())
        finish("answered", "200")
        writer.end()
        return true
    }

    /** A whole successful response. */
    fun succeeded(response: BufferedResponse) {
        gateway.retryBudget(authorised.upstream).succeeded(authorised.organisation, gateway.nowMs())
        responded("answered", response.status.code())
        writer.respond(response.status, response.headers, response.body)
    }

    private fun responded(
        outcome: String,
        status: Int,
    ) {
        gateway.metrics.responded(authorised.route.name, (gateway.nowMs() - arrivedMs).milliseconds)
        finish(outcome, status.toString())
    }

    private fun timedOut() {
        if (isOver) return
        attempt?.cancel()
        respond(HttpResponseStatus.GATEWAY_TIMEOUT, "timeout")
    }

    override fun callerLeft() {
        if (isOver) return
        attempt?.cancel()
        finish("caller_left", "after ${gateway.nowMs() - arrivedMs} ms")
    }

    override fun writabilityChanged(isWritable: Boolean) {
        attempt?.setReading(isWritable)
    }

    /** Says that the request has not run and when to come back. */
    private fun refuse(
        reason: String,
        retryAfter: String? = null,
    ) {
        val headers = DefaultHttpHeaders()
        headers["Retry-After"] = retryAfter ?: retryAfterSeconds(gateway.random)
        respond(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, headers)
    }

    /** Ends the request with a response of this entry; a response that has begun is cut visibly instead. */
    private fun respond(
        status: HttpResponseStatus,
        reason: String,
        headers: DefaultHttpHeaders = DefaultHttpHeaders(),
    ) {
        if (hasResponseBegun) {
            finish("cut", reason)
            writer.abort()
            return
        }
        val isRefusal = status == HttpResponseStatus.SERVICE_UNAVAILABLE
        finish(if (isRefusal) "refused" else "status_${status.code()}", reason)
        headers["Content-Type"] = "application/json"
        if (requestId.isNotEmpty()) headers[names.requestId] = requestId
        writer.respond(status, headers, localResponseBody(status, reason, requestId, tried.isEmpty() || isRefusal))
    }

    private fun finish(
        outcome: String,
        reason: String,
    ) {
        isOver = true
        queuedAs?.let { gateway.queues.remove(authorised.upstream, it) }
        timer?.cancel(false)
        framer?.dropPartial()
        gateway.metrics.request(if (::authorised.isInitialized) authorised.route.name else "none", outcome)
        log("call_ended", reason, outcome)
        request.body.release()
    }

    private fun log(
        event: String,
        reason: String,
        outcome: String? = null,
    ) {
        val known = if (::authorised.isInitialized) authorised else null
        val details = RequestLogDetails(reason, outcome, tried, gateway.nowMs() - arrivedMs)
        gateway.logRequest(event, requestId, known, details)
    }

    private companion object {
        /** Most instances that one request is offered to when none of them has seen it. */
        const val MAX_OFFERS = 4

        /** As [STREAM_SILENCE_MS], for requests that take milliseconds. */
        const val PLAIN_SILENCE_MS = 300L
    }
}
