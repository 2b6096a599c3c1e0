/*
 * HTTP client that forwards plain requests to an agent's upstream, with backpressure on the response body. Each request
 * has its own connection: if the upstream closed a reused one meanwhile, the request would fail with unknown outcome.
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
 * An event of a plain response. The order is [Head], any number of [BodyChunk] and one of the others, or one of the
 * others alone.
 */
internal sealed interface PlainEvent {
    data class Head(
        val status: Int,
        val headers: List<Header>,
    ) : PlainEvent

    class BodyChunk(
        val bytes: ByteArray,
    ) : PlainEvent

    data object End : PlainEvent

    data class Broken(
        val reason: String,
    ) : PlainEvent

    data class NotSent(
        val reason: String,
    ) : PlainEvent
}

/** Sends plain requests to [baseUrl]; [connectTimeout] bounds the opening of a connection. */
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

    /** Sends the request in [submit]; the caller must close the returned exchange. */
    fun send(submit: Message.Submit): PlainExchange {
        val headers = DefaultHttpHeaders()
        headers[HttpHeaderNames.HOST] = address
        submit.headers.forUpstream().forEach { headers.add(it.name, it.value) }
        headers[REQUEST_ID_HEADER] = submit.requestId.value
        val uri = url.rawPath.removeSuffix("/") + submit.path
        val body = Unpooled.wrappedBuffer(submit.body)
        return PlainExchange(OutgoingRequest(HttpMethod.valueOf(submit.method), uri, headers, body))
    }

    override fun close() {
        group.shutdownGracefully()
    }

    /** One request and its response. */
    inner class PlainExchange(
        request: OutgoingRequest,
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

            override fun head(response: HttpResponse) =
                emit(PlainEvent.Head(response.status().code(), response.headers().map { Header(it.key, it.value) }))

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
