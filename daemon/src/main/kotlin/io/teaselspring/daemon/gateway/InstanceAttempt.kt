/*
 * One attempt of a request on one instance: sends it, and reports the result to the request's execution.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.parseLoadReport
import io.teaselspring.core.routing.RouteKind
import io.teaselspring.daemon.http.BodyFraming
import io.teaselspring.daemon.http.Exchange
import io.teaselspring.daemon.http.ExchangeListener
import io.teaselspring.daemon.http.MAX_BUFFERED_BODY_BYTES
import io.teaselspring.daemon.http.OutgoingRequest
import io.teaselspring.daemon.http.bodyFraming
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** Skips validation: the headers come from the HTTP decoder, which has validated them. */
private val uncheckedHeaders = DefaultHttpHeadersFactory.headersFactory().withValidation(false)

/**
 * An attempt of [authorised] on [instance], which is expected to prefill [prefillTokens] of the [prompt]. Reports its
 * result to [execution]. Where the upstream's engines copy cached parts, [instance] is told to fetch from [holder]
 * what it lacks of the prompt.
 */
internal class InstanceAttempt(
    private val gateway: Gateway,
    private val execution: RequestExecution,
    private val authorised: AuthorisedRequest,
    private val instance: UpstreamInstance,
    private val prompt: List<PromptPart>,
    private val prefillTokens: Long,
    private val holder: UpstreamInstance? = null,
) : ExchangeListener {
    private val names = gateway.settings.headers
    private val unsharedTokens = prompt.lastOrNull()?.tokens ?: 0
    private var startedMs = 0L
    private var method = HttpMethod.GET
    private var exchangedBytes = 0
    private var exchange: Exchange? = null
    private var buffered: BufferedResponse? = null
    private var isStreaming = false
    private var isUsageRecorded = false

    /** The software version of the instance when the request was sent. */
    var version = instance.registered.version
        private set

    /** How the end of the response's body is marked; null before its head. */
    var framing: BodyFraming? = null
        private set
    private var isFinished = false
    private var isPrefilling = prefillTokens > 0

    /** Sends [request]; with [afterEventId] the instance resumes the stream after that event. */
    fun start(
        request: IncomingRequest,
        deadlineMs: Long,
        afterEventId: String?,
    ) {
        val now = gateway.nowMs()
        startedMs = now
        method = request.method
        exchangedBytes = request.body.readableBytes()
        instance.requestStarted(unsharedTokens, now)
        val dataCentre = instance.registered.dataCentre
        val isLocal = dataCentre == gateway.settings.dataCentre
        gateway.metrics.dataCentreAttempt(authorised.upstream.value, dataCentre.value, isLocal)
        gateway.metrics.recordLimits(instance, now)
        instance.pendingPrefillTokens += prefillTokens
        val outgoing =
            OutgoingRequest(
                request.method,
                request.uri,
                headersFor(request, maxOf(1, deadlineMs - now), afterEventId),
                request.body,
                request.headers[names.requestId],
                names.requestId,
                maySend = ::mayStillSend,
                // The version that the registry states is that of the process it lists.
                process = if (authorised.route.isResumable) gateway.expectedProcess(instance) else null,
            )
        exchange = instance.server.send(outgoing, this)
    }

    /** Checked at the write: the registry may list another process since the instance was chosen. */
    private fun mayStillSend(): Boolean {
        version = instance.registered.version
        return instance.mayStillGet(gateway.nowMs()) &&
            gateway.instances.isCurrent(instance) &&
            gateway.mayBeginAt(instance, authorised) &&
            authorised.mayReach(instance)
    }

    private fun headersFor(
        request: IncomingRequest,
        remainingMs: Long,
        afterEventId: String?,
    ): HttpHeaders {
        val headers = uncheckedHeaders.newHeaders()
        val connectionHeaders =
            request.headers["Connection"]
                ?.lowercase()
                .orEmpty()
                .split(',')
                .map { it.trim() }
        request.headers.iteratorCharSequence().forEach { (name, value) ->
            val lower = name.toString().lowercase()
            if (lower !in names.notForwarded && lower !in connectionHeaders) headers.add(name, value)
        }
        headers[names.timeBudgetMs] = remainingMs.toString()
        headers[names.expectInstance] = instance.registered.id.value
        headers[names.priority] = authorised.priority.coerceIn(0, MAX_PRIORITY_VALUE).toString()
        authorised.organisation?.let { headers[names.organisation] = it.value }
        afterEventId?.let { headers[LAST_EVENT_ID] = it }
        // Engines of two software versions may keep the same parts in different forms.
        val isSameVersion = holder?.registered?.version == version
        if (holder != null && isSameVersion && gateway.copiesCachedParts(authorised.upstream)) {
            headers[names.fetchFrom] = holder.registered.address
            gateway.metrics.cachedPartCopied(authorised.upstream.value)
        }
        return headers
    }

    /** Whether a byte of the request may have been sent, and there is no result yet. */
    val mayRun: Boolean get() = !isFinished && exchange?.isSent == true

    /** Cancels the attempt by closing the connection, which tells the instance to stop. */
    fun cancel() {
        if (isFinished) return
        finish()
        exchange?.cancel()
        buffered?.release()
    }

    fun setReading(isWanted: Boolean) {
        // Backpressure applies to streams only: a response that is buffered whole does not depend on the caller.
        if (isStreaming && !isFinished) exchange?.setReading(isWanted)
    }

    override fun refused(reason: String) {
        instance.limit.cold.recordRefused(gateway.nowMs())
        notSent(reason)
    }

    override fun notSent(reason: String) {
        finish()
        gateway.metrics.attempt(authorised.upstream.value, "not_sent")
        // An instance that has said meanwhile that it wants no requests has not failed.
        if (instance.mayStillGet(gateway.nowMs())) instance.recordFailure(gateway.nowMs(), reason)
        execution.attemptNotRun(reason, sent = false)
    }

    override fun otherProcess(startedAtMs: Long) {
        finish()
        gateway.metrics.attempt(authorised.upstream.value, "not_sent")
        instance.recordReplaced(startedAtMs)
        execution.attemptNotRun("another process answers", sent = false)
    }

    override fun processUnstated() = instance.recordProcessUnstated()

    override fun unreachable(reason: String) {
        execution.recordUnreachable(instance.registered.dataCentre)
        gateway.instances.dataCentres.recordTimeout(instance.registered, startedMs)
        notSent(reason)
    }

    override fun head(response: HttpResponse) {
        val now = gateway.nowMs()
        instance.recordActivity(now)
        response.headers()[names.load]?.let { recordLoad(it, now) }
        gateway.recordStatements(instance, response, startedMs, now)
        framing = response.bodyFraming(method)
        val headers = uncheckedHeaders.newHeaders()
        response.headers().iteratorCharSequence().forEach { (name, value) ->
            if (name.toString().lowercase() !in HeaderNames.perConnection) headers.add(name, value)
        }
        buffered = BufferedResponse(response.status(), headers, gateway.memory.Share(authorised.organisation))
        // A faulty instance may write a refusal once more, for a request that it runs.
        if (isNotRun()) exchange?.expectRefusal()
        if (isSuccess() && authorised.route.kind == RouteKind.STREAM) {
            if (!execution.stream.isContinuedBy(headers)) {
                exchange?.fail("response does not continue the stream")
                return
            }
            isStreaming = true
            execution.streamStarted(checkNotNull(buffered))
            setReading(execution.stream.memory.isReading)
        }
    }

    private fun recordLoad(
        header: String,
        nowMs: Long,
    ) {
        val report = parseLoadReport(header)
        if (report == null) {
            log.debug("event=load_report_unreadable instance={} header=\"{}\"", instance.registered.id, header)
        } else {
            val wasTimed = instance.load.statesWorkTime
            instance.load.record(report, nowMs)
            if (instance.load.statesWorkTime != wasTimed) gateway.instances.onTimedChanged()
        }
    }

    override fun body(piece: ByteBuf) {
        if (!piece.isReadable) return
        exchangedBytes += piece.readableBytes()
        instance.recordActivity(gateway.nowMs())
        if (isPrefilling) finishPrefill()
        if (!isNotRun()) recordUsage()
        if (isStreaming) {
            execution.streamChunk(piece)?.let { problem ->
                if (problem == NO_MEMORY_FOR_EVENT) gateway.metrics.memoryRefused("stream")
                exchange?.fail(problem)
            }
        } else {
            val hasMemory = buffered?.add(piece)
            if (hasMemory == false) {
                gateway.metrics.memoryRefused("response")
                exchange?.fail("no memory for the response, ${gateway.memory.usedBytes} bytes kept")
            } else if (buffered?.isOversized == true) {
                exchange?.fail("response body over $MAX_BUFFERED_BODY_BYTES bytes")
            }
        }
    }

    override fun end() {
        finish()
        recordResponseEnd(isBroken = false)
        val response = buffered
        val framing = framing
        when {
            response == null || framing == null -> execution.attemptFailed("no answer", null)
            isNotRun() -> {
                val reason = "status ${response.status.code()}"
                gateway.metrics.attempt(authorised.upstream.value, "not_run")
                response.release()
                if (response.status == HttpResponseStatus.MISDIRECTED_REQUEST) {
                    instance.recordMisdirected(gateway.nowMs())
                    execution.attemptMisdirected(reason)
                } else {
                    execution.attemptNotRun(reason, sent = true)
                }
            }
            isStreaming -> if (execution.completeStream(framing)) recordSuccess() else recordBroken("stream broken off")
            isSuccess() -> {
                recordUsage()
                recordSuccess()
                execution.attemptSucceeded(response)
            }
            else -> handleErrorResponse(response)
        }
    }

    private fun recordResponseEnd(isBroken: Boolean) {
        val end = framing?.let(execution.stream::responseEnd) ?: return
        gateway.metrics.responseEnded(authorised.upstream.value, end.framing.label, end.label(isBroken))
    }

    private fun recordSuccess() {
        gateway.metrics.attempt(authorised.upstream.value, "answered")
        gateway.leaving.record(authorised.upstream, gateway.nowMs() - startedMs, exchangedBytes)
        instance.recordSuccess()
    }

    private fun handleErrorResponse(response: BufferedResponse) {
        recordUsage()
        gateway.metrics.attempt(authorised.upstream.value, "failed")
        if (response.status.codeClass() == HttpStatusClass.SUCCESS) {
            // A success without the instance's signature is not the instance's response.
            response.release()
            execution.attemptFailed("answer without signature", null)
        } else {
            execution.attemptFailed("status ${response.status.code()}", response)
        }
    }

    override fun broken(reason: String) {
        finish()
        recordResponseEnd(isBroken = true)
        recordBroken(reason)
    }

    private fun recordBroken(reason: String) {
        if (prompt.isNotEmpty()) {
            val suspects = if (execution.stream.hasNewEvents) emptySet() else execution.sharedParts
            gateway.quarantine.attemptBrokeOff(instance.registered, suspects)
        }
        recordUsage()
        gateway.metrics.attempt(authorised.upstream.value, "broken")
        instance.recordFailure(gateway.nowMs(), reason)
        if (!isStreaming) buffered?.release()
        execution.attemptFailed(reason, null)
    }

    private fun isSuccess() =
        buffered.let { it != null && it.status.codeClass() == HttpStatusClass.SUCCESS && names.signature in it.headers }

    private fun isNotRun() =
        buffered.let {
            it != null && (names.notRun in it.headers || it.status == HttpResponseStatus.MISDIRECTED_REQUEST)
        }

    /** Records usage of the organisation, once for each attempt that may have run. */
    private fun recordUsage() {
        if (isUsageRecorded) return
        isUsageRecorded = true
        authorised.organisation?.let(gateway.recordRequest)
    }

    private fun finishPrefill() {
        isPrefilling = false
        instance.pendingPrefillTokens -= prefillTokens
        gateway.queues.dispatch(authorised.upstream)
    }

    private fun finish() {
        if (isFinished) return
        isFinished = true
        if (isPrefilling) finishPrefill()
        instance.requestEnded(unsharedTokens)
    }

    private companion object {
        const val MAX_PRIORITY_VALUE = 9
    }
}
