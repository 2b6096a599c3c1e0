/*
 * HTTP client of an agent's upstream, with backpressure on the response body. Each request has its own connection: if
 * the upstream closed a reused one meanwhile, the request would fail with unknown outcome.
 */
package io.teaselspring.daemon.agent

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.teaselspring.daemon.http.Exchange
import io.teaselspring.daemon.http.ExchangeListener
import io.teaselspring.daemon.http.HttpConnections
import io.teaselspring.daemon.http.OutgoingRequest
import io.teaselspring.daemon.http.REQUEST_ID_HEADER
import io.teaselspring.daemon.http.forUpstream
import io.teaselspring.protocol.Header
import io.teaselspring.protocol.Message
import kotlinx.coroutines.channels.Channel
import java.net.URI
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * An event of a response as it arrives. The order is [Head], any number of [BodyChunk] and one of the others, or one of
 * the others alone.
 */
internal sealed interface PlainEvent {
    data class Head(
        val status: Int,
        val headers: List<Header>,
    ) : PlainEvent {
        /** The first value of the header [name], or null. */
        fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
    }

    class BodyChunk(
        val bytes: ByteArray,
    ) : PlainEvent

    data object End : PlainEvent

    data class Broken(
        val reason: String,
    ) : PlainEvent

    /** No byte of the request was sent; with [isRefused] no process listens at the address. */
    data class NotSent(
        val reason: String,
        val isRefused: Boolean = false,
    ) : PlainEvent
}

/** Sends requests to [baseUrl]; [connectTimeout] bounds the opening of a connection. */
internal class PlainHttpClient(
    baseUrl: String,
    connectTimeout: Duration,
) : AutoCloseable {
    private val url = URI(baseUrl)
    private val address = "${url.host}:${if (url.port > 0) url.port else DEFAULT_PORT}"
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop
    private val start = TimeSource.Monotonic.markNow()
    private val connections =
        HttpConnections(loop, { start.elapsedNow().inWholeMilliseconds }, connectTimeout, reuseConnections = false)

    /**
     * Sends the request in [submit] with [headers] if [maySend] still returns true when the connection is open; the
     * caller must close the returned exchange. A response for whose status [isRefusal] is true proves nothing if
     * another byte follows it.
     */
    fun send(
        submit: Message.Submit,
        headers: List<Header> = submit.headers,
        isRefusal: (status: Int) -> Boolean = { false },
        maySend: () -> Boolean = { true },
    ): PlainExchange {
        val fields = newHeaders()
        headers.forUpstream().forEach { fields.add(it.name, it.value) }
        fields[REQUEST_ID_HEADER] = submit.requestId.value
        val request =
            OutgoingRequest(
                HttpMethod.valueOf(submit.method),
                uri(submit.path),
                fields,
                Unpooled.wrappedBuffer(submit.body),
                submit.requestId.value,
                REQUEST_ID_HEADER,
                mayOmitId = true,
                maySend = maySend,
            )
        return PlainExchange(request, isRefusal)
    }

    /** Gets [path]; the caller must close the returned exchange. */
    fun get(path: String): PlainExchange =
        PlainExchange(OutgoingRequest(HttpMethod.GET, uri(path), newHeaders())) { false }

    private fun newHeaders(): HttpHeaders = DefaultHttpHeaders().set(HttpHeaderNames.HOST, address)

    private fun uri(path: String) = url.rawPath.removeSuffix("/") + path

    override fun close() {
        group.shutdownGracefully()
    }

    /** One request and its response. */
    inner class PlainExchange(
        request: OutgoingRequest,
        private val isRefusal: (status: Int) -> Boolean,
    ) : AutoCloseable {
        private val events = Channel<PlainEvent>(Channel.UNLIMITED)
        private var exchange: Exchange? = null
        private var isClosed = false

        init {
            loop.execute { if (!isClosed) exchange = connections.server(address).send(request, Listener()) }
        }

        /** Waits for the next event. */
        suspend fun next(): PlainEvent {
            val event = events.receive()
            // Backpressure: reading stops at each chunk and continues here, so that the queue cannot grow.
            if (event is PlainEvent.BodyChunk) loop.execute { exchange?.setReading(true) }
            return event
        }

        /** Closes the connection unless the response is complete. */
        override fun close() {
            loop.execute {
                isClosed = true
                exchange?.cancel()
            }
        }

        private inner class Listener : ExchangeListener {
            override fun notSent(reason: String) = emit(PlainEvent.NotSent(reason))

            override fun refused(reason: String) = emit(PlainEvent.NotSent(reason, isRefused = true))

            override fun head(response: HttpResponse) {
                val status = response.status().code()
                if (isRefusal(status)) exchange?.expectRefusal()
                emit(PlainEvent.Head(status, response.headers().map { Header(it.key, it.value) }))
            }

            override fun body(piece: ByteBuf) {
                if (!piece.isReadable) return
                exchange?.setReading(false)
                emit(PlainEvent.BodyChunk(ByteBufUtil.getBytes(piece)))
            }

            override fun end() = emit(PlainEvent.End)

            override fun broken(reason: String) = emit(PlainEvent.Broken(reason))

            private fun emit(event: PlainEvent) {
                events.trySend(event)
            }
        }
    }

    private companion object {
        const val DEFAULT_PORT = 80
    }
}
