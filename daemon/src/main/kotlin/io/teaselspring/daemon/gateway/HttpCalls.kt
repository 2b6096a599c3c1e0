/*
 * HTTP client for the control plane: the store and the other interfaces of the platform. It shares the connection pool
 * and the event loop with the traffic.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.teaselspring.daemon.http.Exchange
import io.teaselspring.daemon.http.ExchangeListener
import io.teaselspring.daemon.http.HttpConnections
import io.teaselspring.daemon.http.MAX_BUFFERED_BODY_BYTES
import io.teaselspring.daemon.http.OutgoingRequest
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.coroutines.resume
import kotlin.time.Duration

/** A response, received whole. */
class HttpCallResponse(
    val status: Int,
    val body: ByteArray,
    private val headers: HttpHeaders,
) {
    /** The first value of the header [name], or null. */
    fun header(name: String): String? = headers[name]
}

/** Why there is no response; [mayHaveRun] tells whether the server may have received the call. */
data class HttpCallFailure(
    val reason: String,
    val mayHaveRun: Boolean,
)

/** Makes calls and passes the kind and the outcome of each to [recordOutcome]. Must be used on the event loop. */
class HttpCalls internal constructor(
    private val connections: HttpConnections,
    private val recordOutcome: (call: String, outcome: String) -> Unit,
) {
    /**
     * Calls [uri] at [address], "IP:port"; gives up and closes the connection after [limit] without a response. The
     * call is sent only if [maySend] returns true once its connection is open.
     */
    suspend fun call(
        address: String,
        method: String,
        uri: String,
        limit: Duration,
        body: ByteArray? = null,
        headers: Map<String, String> = emptyMap(),
        maySend: () -> Boolean = { true },
    ): Either<HttpCallFailure, HttpCallResponse> {
        val giveUpAtMs = connections.now() + limit.inWholeMilliseconds
        val request =
            OutgoingRequest(
                HttpMethod.valueOf(method),
                uri,
                headersOf(address, headers, body),
                bufferOf(body),
                maySend = { connections.now() < giveUpAtMs && maySend() },
            )
        val result =
            withTimeoutOrNull(limit) { exchange(address, request) }
                ?: HttpCallFailure("no answer within $limit", mayHaveRun = true)
                    .left()
                    // What has silenced one connection may have silenced the idle ones as well.
                    .also { connections.server(address).closeIdle() }
        recordOutcome(uri.substringBefore('?').substringAfterLast('/'), outcomeOf(result))
        return result
    }

    private fun outcomeOf(result: Either<HttpCallFailure, HttpCallResponse>) =
        result.fold({ if (it.mayHaveRun) "no_answer" else "not_sent" }, { "status_${it.status}" })

    private suspend fun exchange(
        address: String,
        request: OutgoingRequest,
    ): Either<HttpCallFailure, HttpCallResponse> =
        suspendCancellableCoroutine { continuation ->
            val collector = ResponseCollector { continuation.resume(it) }
            val exchange = connections.server(address).send(request, collector)
            collector.exchange = exchange
            continuation.invokeOnCancellation { exchange.cancel() }
        }

    private fun bufferOf(body: ByteArray?) = body?.let { Unpooled.wrappedBuffer(it) } ?: Unpooled.EMPTY_BUFFER

    private fun headersOf(
        address: String,
        headers: Map<String, String>,
        body: ByteArray?,
    ) = DefaultHttpHeaders().apply {
        set(HttpHeaderNames.HOST, address)
        if (body != null) set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        headers.forEach { (name, value) -> set(name, value) }
    }
}

private class ResponseCollector(
    private val onResult: (Either<HttpCallFailure, HttpCallResponse>) -> Unit,
) : ExchangeListener {
    var exchange: Exchange? = null
    private var status = 0
    private var headers: HttpHeaders = EmptyHttpHeaders.INSTANCE
    private val collected = Unpooled.buffer()

    override fun notSent(reason: String) = onResult(HttpCallFailure(reason, mayHaveRun = false).left())

    override fun head(response: HttpResponse) {
        status = response.status().code()
        headers = response.headers()
        // Without an id, a copy of a refusal would be taken for the response to the next call on the connection.
        if (response.status().codeClass() != HttpStatusClass.SUCCESS) exchange?.expectRefusal()
    }

    override fun body(piece: ByteBuf) {
        collected.writeBytes(piece)
        val isOversized = collected.readableBytes() > MAX_BUFFERED_BODY_BYTES
        if (isOversized) exchange?.fail("response body over $MAX_BUFFERED_BODY_BYTES bytes")
    }

    override fun end() = onResult(HttpCallResponse(status, ByteBufUtil.getBytes(collected), headers).right())

    override fun broken(reason: String) = onResult(HttpCallFailure(reason, mayHaveRun = true).left())
}
