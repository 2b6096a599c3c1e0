/*
 * Execution of one request: authorisation by the configuration in force, choice of instances, retries where a retry
 * cannot run a request twice, and the route's timeout. A request that cannot be completed gets a response at
 * once.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import io.teaselspring.core.DataCentre
import io.teaselspring.core.capacity.GroupDemand
import io.teaselspring.core.routing.RouteKind
import io.teaselspring.core.routing.RoutingConfig
import io.teaselspring.core.routing.RoutingDecision
import io.teaselspring.core.routing.pickUpstream
import io.teaselspring.daemon.http.BodyFraming
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/**
 * Executes [request] on upstream instances and responds through [writer]. The entry package's RequestRun does the same
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

    /** Ids of the parts of the prompt that other requests share. */
    val sharedParts: Set<String> = prompt.dropLast(1).mapTo(LinkedHashSet()) { it.id }
    private val attempts = RequestAttempts()
    private lateinit var authorised: AuthorisedRequest
    private var deadlineMs = Long.MAX_VALUE
    private var timeout: ScheduledFuture<*>? = null
    private var attempt: InstanceAttempt? = null

    /** The stream that the caller receives, from all attempts. */
    val stream =
        ForwardedStream(
            writer,
            StreamShare(gateway.memory, request.organisation) { attempt?.setReading(it) },
            resumedAfter = request.headers[LAST_EVENT_ID],
        ) {
            gateway.metrics.responded(authorised.route.name, (gateway.nowMs() - arrivedMs).milliseconds)
        }
    private var isFinished = false
    private var queued: QueuedPrompt? = null

    /** Key of the stream that the request begins or resumes; null if it does neither, or does not name the stream. */
    private var streamKey: String? = null

    fun start() {
        val config = gateway.config.current
        when {
            requestId.isEmpty() -> respond(HttpResponseStatus.BAD_REQUEST, "no request id")
            config == null -> refuse("no configuration yet")
            else ->
                gateway.authorise(config, request) { newest, decision ->
                    if (!isFinished) handleDecision(newest, decision)
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
            is RoutingDecision.Allowed -> executeAllowed(config, decision)
        }
    }

    private fun executeAllowed(
        config: RoutingConfig,
        decision: RoutingDecision.Allowed,
    ) {
        val upstream =
            gateway.streams.upstreamOf(request, decision, names)
                ?: pickUpstream(decision.route.upstreams, gateway.randomBelow)
        if (upstream == null) {
            refuse("route without upstream")
            return
        }
        authorised = decision.toUpstream(upstream, config, gateway.config.ageMs(), gateway.settings.regions)
        val budgetMs = request.headers[names.timeBudgetMs]?.toLongOrNull() ?: Long.MAX_VALUE
        val timeoutMs = minOf(decision.route.timeoutMs, budgetMs)
        deadlineMs = arrivedMs + timeoutMs
        val obstacle =
            when {
                gateway.drain?.accepts(gateway.nowMs(), deadlineMs) == false -> "stopping"
                gateway.isOutOfReach(authorised) -> "no instance in an allowed region"
                else -> null
            }
        if (obstacle != null) {
            refuse(obstacle)
            return
        }
        if (refuseQuarantined()) return
        timeout = gateway.loop.schedule({ onTimeout() }, timeoutMs, TimeUnit.MILLISECONDS)
        val isStream = decision.route.kind == RouteKind.STREAM
        if (isStream) streamKey = gateway.streams.keyOf(request, authorised, names)
        if (isStream && request.isResumption) resume() else admit()
    }

    /** Admits the request for the rest of a stream at the software version that began it. */
    private fun resume() =
        gateway.streams.find(streamKey, authorised.upstream, requestId) { found ->
            if (isFinished) return@find
            found.version?.let { authorised = authorised.continuedAt(it) }
            when {
                found.version == null -> refuse("version of the stream is ${found.source.name.lowercase()}")
                gateway.instances.staying(authorised).isEmpty() -> refuse("no instance of the stream's version")
                else -> admit()
            }
        }

    private fun admit() {
        gateway.limits.recordDemand(authorised.upstream)
        gateway.recordDemand(authorised, GroupDemand(arrived = 1))
        val output = request.headers.statedOutput(names)
        val queued = QueuedPrompt(gateway, requestId, authorised, prompt, output, deadlineMs).also { queued = it }
        val refusal = gateway.earlyRefusal(authorised, arrivedMs, deadlineMs) ?: queued.earlyRefusal()
        refusal?.let { return refuse(it.reason, it.retryAfter) }
        if (prompt.isEmpty()) tryNextInstance() else queued.enqueue(arrivedMs, this)
    }

    override fun onDispatched(
        instance: UpstreamInstance,
        uncachedTokens: Long,
        holder: UpstreamInstance?,
    ) {
        startAttempt(instance, uncachedTokens, holder)
    }

    override fun onQueueTimeout() {
        val delayMs = gateway.permitDelayMs(authorised)
        if (delayMs == null) {
            refuse("waited too long", queued?.refusedInQueue())
        } else {
            refuse("waited too long for a permit", secondsText(delayMs))
        }
    }

    /**
     * Starts an attempt on an instance that has not been tried yet. Waits if a limit holds the instances back, and
     * refuses the request if there is none.
     */
    private fun tryNextInstance() {
        val upstream = authorised.upstream
        val instance = gateway.chooseInstanceFor(authorised, prompt, attempts)
        val mustWait =
            if (instance == null) {
                gateway.isHeldBack(authorised, attempts.tried)
            } else {
                instance.limit.perSecond != null && gateway.permits.hasMoreUrgent(upstream, authorised.priority)
            }
        when {
            mustWait -> waitForPermit()
            instance == null ->
                refuse(
                    if (attempts.tried.isEmpty()) "no instance" else "no further instance",
                    gateway.pausedRetryAfter(authorised, deadlineMs),
                )
            else -> startAttempt(instance, instance.prefixCache.uncachedTokens(prompt, isPreferred = false))
        }
    }

    private fun waitForPermit() {
        val sinceMs = if (attempts.tried.isEmpty()) arrivedMs else gateway.nowMs()
        val choose = { gateway.chooseInstanceFor(authorised, prompt, attempts) }
        gateway.permits.add(authorised.toPermitRequest(prompt, sinceMs, deadlineMs, choose, this))
    }

    private fun startAttempt(
        instance: UpstreamInstance,
        uncachedTokens: Long,
        holder: UpstreamInstance? = null,
    ) {
        if (refuseQuarantined()) return
        val waitedMs = gateway.nowMs() - arrivedMs
        if (attempts.tried.isEmpty()) {
            gateway.metrics.dispatched(authorised.route.name, waitedMs.milliseconds)
            queued?.dispatched()
        }
        gateway.logDispatch(
            requestId,
            authorised,
            instance,
            DispatchedPrompt(sharedParts, uncachedTokens),
            DispatchedResumption(request.headers[names.resumes], stream.lastEventId ?: request.headers[LAST_EVENT_ID]),
            waitedMs,
        )
        val sent = if (attempts.tried.isEmpty()) 1L else 0L
        gateway.recordDemand(authorised, GroupDemand(sent = sent, promptTokens = uncachedTokens))
        attempts.begin(instance.registered.id)
        attempt =
            InstanceAttempt(gateway, this, authorised, instance, prompt, uncachedTokens, holder).also {
                it.start(request, deadlineMs, stream.lastEventId)
            }
    }

    /** Refuses the request if its prompt has parts that crash instances, or if this entry does not know those yet. */
    private fun refuseQuarantined(): Boolean {
        val refusal = gateway.quarantine.refusalOf(sharedParts) ?: return false
        refuse(refusal.reason, refusal.retryAfter?.inWholeSeconds?.toString())
        return true
    }

    /** The attempt has not run: it goes to another instance or is refused. [sent] tells whether an instance saw it. */
    fun attemptNotRun(
        reason: String,
        sent: Boolean,
    ) {
        if (sent && attempts.counted >= authorised.route.maxAttempts) {
            refuse("refused by upstream: $reason", gateway.pausedRetryAfter(authorised, deadlineMs))
        } else if (attempts.areExhausted || (sent && !acquireRetry())) {
            refuse("no attempt left: $reason", gateway.pausedRetryAfter(authorised, deadlineMs))
        } else {
            log("call_retried", "not run: $reason")
            tryNextInstance()
        }
    }

    /**
     * Another process has answered at the address of the instance, which is gone and has not run the request. Such an
     * attempt does not count towards the attempts of the route.
     */
    fun attemptMisdirected(reason: String) {
        attempts.recordMisdirected()
        if (attempts.areExhausted || !acquireRetry()) {
            refuse("no attempt left: $reason")
            return
        }
        log("call_retried", "not run: $reason")
        if (prompt.isEmpty() || stream.hasBegun) tryNextInstance() else queued?.enqueue(arrivedMs, this)
    }

    /** The attempt may have run and did not succeed; [failure] is the instance's error response, if it sent one. */
    fun attemptFailed(
        reason: String,
        failure: BufferedResponse?,
    ) {
        attempts.mayHaveRun = true
        val route = authorised.route
        // A request without an event may have crashed the instance, and its repeat may crash the next one.
        val mayCrash = !stream.hasNewEvents && gateway.quarantine.isSuspected(sharedParts)
        val canRetry =
            !mayCrash &&
                route.isRepeatable &&
                stream.canContinue &&
                attempts.counted < route.maxAttempts &&
                gateway.nowMs() < deadlineMs
        if (canRetry && acquireRetry()) {
            failure?.release()
            log("call_retried", reason)
            stream.dropPartial()
            tryNextInstance()
        } else if (failure != null && !stream.hasBegun) {
            recordResponse("failed_by_upstream", failure.status.code())
            failure.sendTo(writer)
        } else {
            failure?.release()
            respond(HttpResponseStatus.BAD_GATEWAY, reason)
        }
    }

    private fun acquireRetry() =
        gateway.retryBudget(authorised.upstream).spend(authorised.organisation, gateway.nowMs())

    /** An instance has sent the head of a stream; the caller gets the stream as it arrives. */
    fun streamStarted(response: BufferedResponse) = stream.begin(response, authorised.route.isResumable)

    /** Forwards [chunk] of the stream; the attempt keeps its ownership. Returns why it has to end, or null. */
    fun streamChunk(chunk: ByteBuf): String? {
        val hadEvents = stream.hasNewEvents
        val eventsBefore = stream.completeEvents
        val problem = stream.forward(chunk, gateway.nowMs())
        val events = stream.completeEvents - eventsBefore
        if (events > 0) gateway.recordEvents(authorised, events)
        if (!hadEvents && stream.hasNewEvents) {
            gateway.quarantine.recordResponse(sharedParts)
            attempt?.let { streamBegan(it.version) }
        }
        return problem
    }

    /** The stream has had an event of software [version] and goes on nowhere else. */
    private fun streamBegan(version: String) {
        authorised = authorised.continuedAt(version)
        if (!authorised.route.isResumable) return
        val key = streamKey ?: return
        val budgetMs = request.headers[names.timeBudgetMs]?.toLongOrNull() ?: Long.MAX_VALUE
        gateway.streams.began(key, authorised.upstream, version, budgetMs)
    }

    /** Completes the response after the instance ended the stream; returns false if the stream was broken off. */
    fun completeStream(framing: BodyFraming): Boolean {
        if (!stream.isCompleteAtEnd(framing)) return false
        gateway.retryBudget(authorised.upstream).succeeded(authorised.organisation, gateway.nowMs())
        finish(ANSWERED, "200")
        stream.end()
        return true
    }

    /** Responds with a successful response that was received whole. */
    fun attemptSucceeded(response: BufferedResponse) {
        gateway.quarantine.recordResponse(sharedParts)
        gateway.retryBudget(authorised.upstream).succeeded(authorised.organisation, gateway.nowMs())
        recordResponse(ANSWERED, response.status.code())
        response.sendTo(writer)
    }

    private fun recordResponse(
        outcome: String,
        status: Int,
    ) {
        gateway.metrics.responded(authorised.route.name, (gateway.nowMs() - arrivedMs).milliseconds)
        finish(outcome, status.toString())
    }

    /** An attempt to connect to an instance in [dataCentre] timed out: further attempts prefer other data centres. */
    fun recordUnreachable(dataCentre: DataCentre) {
        attempts.unreachable += dataCentre
    }

    private fun onTimeout() {
        if (isFinished) return
        cancelAttempt()
        if (attempts.mayHaveRun) respond(HttpResponseStatus.GATEWAY_TIMEOUT, "timeout") else refuse("timeout, not run")
    }

    private fun cancelAttempt() {
        if (attempt?.mayRun == true) attempts.mayHaveRun = true
        attempt?.cancel()
    }

    override fun entryStopped() {
        if (isFinished) return
        cancelAttempt()
        refuse("stopping")
    }

    override fun callerDisconnected() {
        if (isFinished) return
        attempt?.cancel()
        finish("caller_left", "after ${gateway.nowMs() - arrivedMs} ms")
    }

    override fun writabilityChanged(isWritable: Boolean) {
        stream.memory.writabilityChanged(isWritable)
    }

    /**
     * Responds that the request is not executed now; `Retry-After` says when to retry. The status is 503, which states
     * that the request has not run, unless an earlier attempt may have run.
     */
    private fun refuse(
        reason: String,
        retryAfter: String? = null,
    ) {
        val headers = DefaultHttpHeaders()
        headers["Retry-After"] = retryAfter ?: retryAfterSeconds(gateway.randomBelow)
        val status = if (attempts.mayHaveRun) HttpResponseStatus.BAD_GATEWAY else HttpResponseStatus.SERVICE_UNAVAILABLE
        respond(status, reason, headers)
    }

    /** Ends the request with a response of this entry, or truncates the response if it has begun. */
    private fun respond(
        status: HttpResponseStatus,
        reason: String,
        headers: DefaultHttpHeaders = DefaultHttpHeaders(),
    ) {
        if (stream.hasBegun) {
            finish("cut", reason)
            writer.abort()
            return
        }
        val isRefusal = status == HttpResponseStatus.SERVICE_UNAVAILABLE
        finish(if (isRefusal) "refused" else "status_${status.code()}", reason)
        headers["Content-Type"] = "application/json"
        if (requestId.isNotEmpty()) headers[names.requestId] = requestId
        val hasNotRun = attempts.tried.isEmpty() || isRefusal
        writer.respond(status, headers, localResponseBody(status, reason, requestId, hasNotRun))
    }

    private fun finish(
        outcome: String,
        reason: String,
    ) {
        isFinished = true
        queued?.ended(stream, outcome)
        gateway.permits.remove(this)
        timeout?.cancel(false)
        gateway.metrics.request(if (::authorised.isInitialized) authorised.route.name else "none", outcome)
        stream.firstEventAtMs?.let {
            gateway.metrics.streamEnded(authorised.route.name, outcome, (gateway.nowMs() - it).milliseconds)
        }
        log("call_ended", reason, outcome)
        if (outcome != ANSWERED) streamKey?.let(gateway.streams::interrupted)
        stream.close()
        request.release()
    }

    private fun log(
        event: String,
        reason: String,
        outcome: String? = null,
    ) {
        val known = if (::authorised.isInitialized) authorised else null
        val firstEventMs = stream.firstEventAtMs?.let { it - arrivedMs }
        val afterMs = gateway.nowMs() - arrivedMs
        val end = attempt?.framing?.let(stream::responseEnd)
        val details = RequestLogDetails(reason, outcome, attempts.tried, afterMs, firstEventMs, end)
        gateway.logRequest(event, requestId, known, details)
    }
}
