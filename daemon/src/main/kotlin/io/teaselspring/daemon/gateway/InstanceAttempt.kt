/*
 * One offer of a request to one instance, and what its response means for the request.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.teaselspring.core.routing.RouteKind
import io.teaselspring.daemon.http.Exchange
import io.teaselspring.daemon.http.ExchangeListener
import io.teaselspring.daemon.http.OutgoingRequest

/** Headers that came from a parser need no second check. */
private val uncheckedHeaders = DefaultHttpHeadersFactory.headersFactory().withValidation(false)

/** A response, or its head while [body] is still empty. */
internal class BufferedResponse(
    val status: HttpResponseStatus,
    val headers: HttpHeaders,
    val body: CompositeByteBuf = Unpooled.compositeBuffer(),
) {
    fun release() {
        body.release()
    }
}

/** An offer of [authorised] to [instance]; tells [run] how it went. */
internal class InstanceAttempt(
    private val gateway: Gateway,
    private val run: RequestExecution,
    private val authorised: AuthorisedRequest,
    private val instance: UpstreamInstance,
    private val prefillTokens: Long,
) : ExchangeListener {
    private val names = gateway.settings.headers
    private var exchange: Exchange? = null
    private var buffered: BufferedResponse? = null
    private var isStreaming = false
    private var hasCounted = false
    private var isOver = false
    private var isPrefilling = prefillTokens > 0

    /** Sends [request]; with [afterEventId] a stream goes on after that event. */
    fun start(
        request: IncomingRequest,
        endsAtMs: Long,
        afterEventId: String?,
    ) {
        val now = gateway.nowMs()
        instance.began(now)
        instance.pendingPrefillTokens += prefillTokens
        val outgoing =
            OutgoingRequest(
                request.method,
                request.uri,
                headersFor(request, maxOf(1, endsAtMs - now), afterEventId),
                request.body,
                request.headers[names.requestId],
                names.requestId,
            )
        exchange = instance.server.send(outgoing, this)
    }

    private fun headersFor(
        request: IncomingRequest,
        leftMs: Long,
        afterEventId: String?,
    ): HttpHeaders {
        val headers = uncheckedHeaders.newHeaders()
        val ofConnection =
            request.headers["Connection"]
                ?.lowercase()
                .orEmpty()
                .split(',')
                .map { it.trim() }
        request.headers.iteratorCharSequence().forEach { (name, value) ->
            val lower = name.toString().lowercase()
            if (lower !in names.notForwarded && lower !in ofConnection) headers.add(name, value)
        }
        headers[names.timeBudgetMs] = leftMs.toString()
        headers[names.expectInstance] = instance.registered.id.value
        headers[names.priority] = authorised.priority.coerceIn(0, LOWEST_PRIORITY).toString()
        authorised.organisation?.let { headers[names.organisation] = it.value }
        afterEventId?.let { headers[LAST_EVENT_ID] = it }
        return headers
    }

    /** Stops the offer; the instance notices by its closed connection. */
    fun cancel() {
        if (isOver) return
        over()
        exchange?.cancel()
        buffered?.release()
    }

    fun setReading(isWritable: Boolean) {
        // Reading stops only for streams: a response that is collected never waits for the caller.
        if (isStreaming && !isOver) exchange?.setReading(isWritable)
    }

    override fun notSent(reason: String) {
        over()
        gateway.metrics.attempt(authorised.upstream.value, "not_sent")
        instance.failed(gateway.nowMs(), reason)
        run.notRun(reason, sent = false, retryAfter = null)
    }

    override fun head(response: HttpResponse) {
        val now = gateway.nowMs()
        instance.recordActivity(now)
        parseLoad(response.headers()[names.load])?.let { instance.reported(it, now) }
        val headers = uncheckedHeaders.newHeaders()
        response.headers().iteratorCharSequence().forEach { (name, value) ->
            if (name.toString().lowercase() !in HeaderNames.perConnection) headers.add(name, value)
        }
        buffered = BufferedResponse(response.status(), headers)
        if (isSuccess() && authorised.route.kind == RouteKind.STREAM) {
            isStreaming = true
            run.streamBegins(checkNotNull(buffered))
        }
    }

    override fun body(piece: ByteBuf) {
        if (!piece.isReadable) return
        instance.recordActivity(gateway.nowMs())
        if (isPrefilling) prefilled()
        if (!isNotRun()) count()
        if (isStreaming) {
            run.streamPiece(piece)
        } else {
            buffered?.body?.addComponent(true, piece.retain())
        }
    }

    override fun end() {
        over()
        val whole = buffered
        when {
            whole == null -> run.failed("no answer", null)
            isNotRun() -> {
                val reason = "status ${whole.status.code()}"
                gateway.metrics.attempt(authorised.upstream.value, "not_run")
                whole.release()
                run.notRun(reason, sent = true, whole.headers["Retry-After"])
            }
            isStreaming -> if (run.streamEnds()) succeeded() else broken("stream ends within an event")
            isSuccess() -> {
                count()
                succeeded()
                run.succeeded(whole)
            }
            else -> failedByInstance(whole)
        }
    }

    private fun succeeded() {
        gateway.metrics.attempt(authorised.upstream.value, "answered")
        instance.succeeded()
    }

    private fun failedByInstance(whole: BufferedResponse) {
        count()
        gateway.metrics.attempt(authorised.upstream.value, "failed")
        if (whole.status.codeClass() == HttpStatusClass.SUCCESS) {
            // A success without the instance's signature is not its response.
            whole.release()
            run.failed("answer without signature", null)
        } else {
            run.failed("status ${whole.status.code()}", whole)
        }
    }

    override fun broken(reason: String) {
        over()
        count()
        gateway.metrics.attempt(authorised.upstream.value, "broken")
        instance.failed(gateway.nowMs(), reason)
        if (!isStreaming) buffered?.release()
        run.failed(reason, null)
    }

    private fun isSuccess() =
        buffered.let { it != null && it.status.codeClass() == HttpStatusClass.SUCCESS && names.signature in it.headers }

    private fun isNotRun() =
        buffered.let {
            it != null && (names.notRun in it.headers || it.status == HttpResponseStatus.MISDIRECTED_REQUEST)
        }

    /** Counts the request for its organisation, once for each run. */
    private fun count() {
        if (hasCounted) return
        hasCounted = true
        authorised.organisation?.let(gateway.usage)
    }

    private fun prefilled() {
        isPrefilling = false
        instance.pendingPrefillTokens -= prefillTokens
        gateway.queues.changed(authorised.upstream)
    }

    private fun over() {
        if (isOver) return
        isOver = true
        if (isPrefilling) prefilled()
        instance.ended()
    }

    private fun parseLoad(header: String?): ReportedLoad? {
        val numbers = header?.split(',')?.mapNotNull { it.trim().toIntOrNull() } ?: return null
        return if (numbers.size == LOAD_FIELDS) ReportedLoad(numbers[0], numbers[1], numbers[2]) else null
    }

    private companion object {
        const val LOWEST_PRIORITY = 9
        const val LAST_EVENT_ID = "Last-Event-Id"
        const val LOAD_FIELDS = 3
    }
}
