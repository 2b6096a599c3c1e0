/*
 * Connections to HTTP servers that are called by address: upstream instances and the platform's store. A connection
 * carries one exchange at a time and is kept for further ones while the server allows it. Everything runs on one
 * event loop. Netty is used without Ktor's client because that one takes answers cut off by the server as complete.
 */
package io.teaselspring.daemon.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import jdk.net.ExtendedSocketOptions
import java.net.InetSocketAddress
import java.util.ArrayDeque
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What comes back of an exchange. Exactly one of [notSent], [end] and [broken] is called, as the last call. */
internal interface ExchangeListener {
    /** No byte of the request has been sent. */
    fun notSent(reason: String)

    /** The head of the response. */
    fun head(response: HttpResponse)

    /** A piece of the body, released after the call. */
    fun body(piece: ByteBuf)

    /** The response is complete. */
    fun end()

    /** The response is missing or incomplete; the request may have run. */
    fun broken(reason: String)
}

/** An exchange under way. */
internal interface Exchange {
    /** Gives the exchange up and closes its connection. The listener hears nothing more. */
    fun cancel()

    /** Continues reading the response, or stops until called again. */
    fun setReading(isWanted: Boolean)
}

/** A request to send. [requestId], if set, must be echoed in the header [idHeader] of the response. */
internal class OutgoingRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteBuf = Unpooled.EMPTY_BUFFER,
    val requestId: String? = null,
    val idHeader: String? = null,
)

/**
 * Opens connections, and keeps them for further exchanges if [reuseConnections]. [connectLimit] bounds the opening of
 * one.
 */
internal class HttpConnections(
    val loop: EventLoop,
    private val nowMs: () -> Long,
    private val connectLimit: Duration = 400.milliseconds,
    val reuseConnections: Boolean = true,
) {
    private val servers = HashMap<String, ServerConnections>()

    /** The connections to [address], "IP:port". */
    fun server(address: String): ServerConnections = servers.getOrPut(address) { ServerConnections(address, this) }

    /** Closes the idle connections to [address] and forgets it. */
    fun forget(address: String) {
        servers.remove(address)?.closeIdle()
    }

    /** Closes idle connections whose time is over. */
    fun sweep() {
        val now = nowMs()
        servers.values.forEach { it.closeExpired(now) }
    }

    internal fun now() = nowMs()

    internal fun open(
        server: ServerConnections,
        connected: (HttpConnection) -> Unit,
        failed: (String) -> Unit,
    ) {
        val connection = HttpConnection(server)
        val future =
            Bootstrap()
                .group(loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectLimit.inWholeMilliseconds.toInt())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                // A silent peer is noticed on an idle connection within about three seconds.
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), 1)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), 2)
                .handler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            channel.pipeline().addLast(clientCodec(), connection)
                        }
                    },
                ).connect(server.socketAddress)
        future.addListener(
            ChannelFutureListener {
                if (it.isSuccess) connected(connection) else failed(it.cause()?.message ?: "cancelled")
            },
        )
    }

    private fun clientCodec() =
        HttpClientCodec(
            HttpDecoderConfig()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                .setHeadersFactory(DefaultHttpHeadersFactory.headersFactory().withValidation(false)),
            false,
            false,
        )

    private companion object {
        const val MAX_HEADER_BYTES = 64 * 1024
    }
}

/** The connections to one server. */
internal class ServerConnections(
    val address: String,
    private val connections: HttpConnections,
) {
    private val idle = ArrayDeque<HttpConnection>()

    val socketAddress: InetSocketAddress = socketAddressOf(address)

    /** Sends [request] on a kept connection or a new one. */
    fun send(
        request: OutgoingRequest,
        listener: ExchangeListener,
    ): Exchange {
        while (true) {
            val kept = idle.pollLast() ?: break
            if (kept.isUsable(connections.now())) return kept.start(request, listener)
            kept.close()
        }
        return sendOnNew(request, listener)
    }

    private fun sendOnNew(
        request: OutgoingRequest,
        listener: ExchangeListener,
    ): Exchange {
        val exchange = OpeningExchange()
        connections.open(
            this,
            connected = { exchange.connected(it) { it.start(request, listener) } },
            failed = { if (!exchange.isCancelled) listener.notSent(it) },
        )
        return exchange
    }

    fun now() = connections.now()

    fun keep(connection: HttpConnection) {
        if (connections.reuseConnections) idle.addLast(connection) else connection.close()
    }

    fun closed(connection: HttpConnection) {
        idle.remove(connection)
    }

    fun closeIdle() {
        idle.toList().forEach { it.close() }
    }

    fun closeExpired(nowMs: Long) {
        idle.filter { !it.isUsable(nowMs) }.forEach { it.close() }
    }
}

/** An exchange whose connection is being opened. */
private class OpeningExchange : Exchange {
    private var running: Exchange? = null
    var isCancelled = false
        private set

    fun connected(
        connection: HttpConnection,
        start: () -> Exchange,
    ) {
        if (isCancelled) connection.close() else running = start()
    }

    override fun cancel() {
        isCancelled = true
        running?.cancel()
    }

    override fun setReading(isWanted: Boolean) {
        running?.setReading(isWanted)
    }
}

internal fun Channel.writeRequest(request: OutgoingRequest): ChannelFuture {
    val body = request.body.retainedDuplicate()
    val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method, request.uri, body)
    message.headers().add(request.headers)
    if (request.body.isReadable || request.method != HttpMethod.GET) {
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.readableBytes())
    }
    return writeAndFlush(message)
}
