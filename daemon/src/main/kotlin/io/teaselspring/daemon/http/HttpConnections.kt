/*
 * Connection pool of the HTTP/1.1 client for servers that are addressed by IP and port: upstream instances and the
 * platform's store. A connection carries one exchange at a time and is reused while the server's keep-alive allows it.
 * All functions run on one event loop. Netty is used directly because Ktor's client reports a response that the server
 * cut off as complete.
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
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import jdk.net.ExtendedSocketOptions
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.NoRouteToHostException
import java.util.ArrayDeque
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Receives the response of an exchange. The last call is one of [notSent], [refused], [end] and [broken]. */
internal interface ExchangeListener {
    /** No byte of the request has been sent: the connection could not be opened, or failed before the first byte. */
    fun notSent(reason: String)

    /** As [notSent]: the server's host refused the connection. */
    fun refused(reason: String) = notSent(reason)

    /** As [notSent]: nothing was heard from the server's host. */
    fun unreachable(reason: String) = notSent(reason)

    /** As [notSent]: a process that started at [startedAtMs] answers in place of the expected one. */
    fun otherProcess(startedAtMs: Long) = notSent("another process answers, started at $startedAtMs")

    /** The server does not state its process; the request is sent all the same. */
    fun processUnstated() = Unit

    /** The status line and headers of the response have been received. */
    fun head(response: HttpResponse)

    /** A chunk of the body has been received. [piece] is released after the call. */
    fun body(piece: ByteBuf)

    /** The response is complete. */
    fun end()

    /** The response is missing or incomplete. The server may have executed the request. */
    fun broken(reason: String)
}

/** One request and its response, in progress. */
internal interface Exchange {
    /** Whether a byte of the request may have been sent. */
    val isSent: Boolean

    /** Cancels the exchange and closes its connection. The listener is not called again. */
    fun cancel()

    /** Resumes or suspends reading the response from the socket, for back-pressure. */
    fun setReading(isWanted: Boolean)

    /** Closes the connection and ends the exchange as broken, because the response cannot be accepted. */
    fun fail(reason: String)

    /**
     * The response is a refusal: the connection is closed after it, so that no later exchange can get it once more, and
     * it proves nothing if another byte follows it.
     */
    fun expectRefusal()
}

/** Limit of a response body that is kept in memory as a whole; a faulty server may send without end. */
internal const val MAX_BUFFERED_BODY_BYTES = 8 * 1024 * 1024

/**
 * A request to send. If [requestId] is set, the server must echo it in the response header [idHeader], unless
 * [mayOmitId]; a head that states it inside the response is then another response all the same. On a new connection it
 * is sent only if [maySend] returns true once that is open: a paused process may find it open long after. If [process]
 * is set, it is sent to no other process that states its start.
 */
internal class OutgoingRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteBuf = Unpooled.EMPTY_BUFFER,
    val requestId: String? = null,
    val idHeader: String? = null,
    val mayOmitId: Boolean = false,
    val maySend: () -> Boolean = { true },
    val process: ExpectedProcess? = null,
) {
    /** This request for whichever process answers. */
    fun forAnyProcess() = OutgoingRequest(method, uri, headers, body, requestId, idHeader, mayOmitId, maySend)

    /** The id that the response has to state, or null. */
    val requiredId: String? get() = requestId.takeUnless { mayOmitId }
}

/**
 * Opens connections, and pools them for reuse if [reuseConnections] is set. An attempt to connect fails after
 * [connectTimeout]. [newChannel] creates the sockets. [onOutOfStep] is told of each connection whose responses do not
 * follow its requests.
 */
internal class HttpConnections(
    val loop: EventLoop,
    private val nowMs: () -> Long,
    private val connectTimeout: Duration = 400.milliseconds,
    val reuseConnections: Boolean = true,
    private val newChannel: () -> SocketChannel = ::NioSocketChannel,
    val onOutOfStep: (OutOfStep) -> Unit = {},
) {
    private val servers = HashMap<String, ServerConnections>()

    /** Returns the connection pool of the server at [address], "IP:port". */
    fun server(address: String): ServerConnections = servers.getOrPut(address) { ServerConnections(address, this) }

    /** Closes the idle connections to [address] and removes its pool. */
    fun forget(address: String) {
        servers.remove(address)?.closeIdle()
    }

    /** Closes idle connections whose keep-alive time has expired. */
    fun sweep() {
        val now = nowMs()
        servers.values.forEach { it.closeExpired(now) }
    }

    /** Opens and closes a connection to [address]; [onResult] is told whether the server's host refused it. */
    fun probe(
        address: String,
        onResult: (isRefused: Boolean) -> Unit,
    ) = open(
        server(address),
        onConnected = {
            it.close()
            onResult(false)
        },
        onFailed = { onResult(it.isRefusal()) },
    )

    internal fun now() = nowMs()

    internal fun open(
        server: ServerConnections,
        onConnected: (HttpConnection) -> Unit,
        onFailed: (Throwable?) -> Unit,
    ) {
        val connection = HttpConnection(server)
        val startedMs = nowMs()
        val future =
            Bootstrap()
                .group(loop)
                .channelFactory(newChannel)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                // Resets the connection on close, also when the process ends, so that the kernel drops unsent bytes:
                // a request that a cut link holds back must not arrive after it was given up.
                .option(ChannelOption.SO_LINGER, 0)
                // TCP keep-alive detects an unresponsive peer of an idle connection within about three seconds.
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), 1)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), 2)
                .handler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            channel.pipeline().addLast(connection.writeProgress, HttpRequestEncoder(), connection)
                        }
                    },
                ).connect(server.socketAddress)

        fun ended() {
            if (future.isSuccess) {
                server.recordConnect(nowMs() - startedMs)
                onConnected(connection)
            } else {
                onFailed(future.cause())
            }
        }
        // Netty reports a socket that could not be created on a thread of its own.
        future.addListener(ChannelFutureListener { if (loop.inEventLoop()) ended() else loop.execute(::ended) })
    }
}

/** The connection pool of the server at [address]. */
internal class ServerConnections(
    val address: String,
    private val connections: HttpConnections,
) {
    private val idle = ArrayDeque<HttpConnection>()

    val socketAddress: InetSocketAddress = socketAddressOf(address)

    /** Moving average of the time to open a connection, about one round trip; null before the first. */
    var connectMs: Double? = null
        private set

    internal fun recordConnect(durationMs: Long) {
        val mean = connectMs
        connectMs = if (mean == null) durationMs.toDouble() else mean + (durationMs - mean) * CONNECT_WEIGHT
    }

    /** Sends [request] on the most recently used idle connection, or on a new one if none is usable. */
    fun send(
        request: OutgoingRequest,
        listener: ExchangeListener,
    ): Exchange {
        if (request.process != null) {
            return CheckedExchange(this, request, request.process, listener).also { it.start() }
        }
        return takeIdle()?.start(request, listener) ?: sendOnNewConnection(request, listener)
    }

    /** Removes and returns the most recently used idle connection, a [preferred] one first; null if none is usable. */
    fun takeIdle(preferred: ((HttpConnection) -> Boolean)? = null): HttpConnection? {
        while (true) {
            val connection = preferred?.let(idle::lastOrNull)?.also(idle::remove) ?: idle.pollLast() ?: return null
            if (connection.isUsable(connections.now())) return connection
            connection.close()
        }
    }

    /** Removes [connection], which has just ended an exchange; false if it can't be used again. */
    fun takeBack(connection: HttpConnection): Boolean =
        idle.removeLastOccurrence(connection) && connection.isUsable(connections.now())

    fun open(
        onConnected: (HttpConnection) -> Unit,
        onFailed: (Throwable?) -> Unit,
    ) = connections.open(this, onConnected, onFailed)

    fun schedule(
        delay: Duration,
        task: () -> Unit,
    ) {
        connections.loop.schedule(task, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun sendOnNewConnection(
        request: OutgoingRequest,
        listener: ExchangeListener,
    ): Exchange {
        val exchange = ConnectingExchange()
        connections.open(
            this,
            onConnected = { exchange.onConnected(it, request, listener) },
            onFailed = { if (!exchange.isCancelled) listener.connectFailed(it) },
        )
        return exchange
    }

    fun now() = connections.now()

    fun reportOutOfStep(
        kind: OutOfStepKind,
        requestId: String?,
    ) = connections.onOutOfStep(OutOfStep(kind, address, requestId))

    /** Returns [connection] to the pool after an exchange, or closes it if connections are not reused. */
    fun release(connection: HttpConnection) {
        if (connections.reuseConnections) idle.addLast(connection) else connection.close()
    }

    /** Removes a closed connection from the pool. */
    fun remove(connection: HttpConnection) {
        idle.remove(connection)
    }

    fun closeIdle() {
        idle.toList().forEach { it.close() }
    }

    fun closeExpired(nowMs: Long) {
        idle.filter { !it.isUsable(nowMs) }.forEach { it.close() }
    }

    private companion object {
        const val CONNECT_WEIGHT = 0.2
    }
}

/** An exchange on a new connection. It starts once the connection is open, unless it was cancelled before. */
private class ConnectingExchange : Exchange {
    private var started: Exchange? = null
    var isCancelled = false
        private set
    override val isSent: Boolean get() = started != null

    fun onConnected(
        connection: HttpConnection,
        request: OutgoingRequest,
        listener: ExchangeListener,
    ) {
        when {
            isCancelled -> connection.close()
            request.maySend() -> started = connection.start(request, listener)
            else -> {
                connection.close()
                listener.notSent(NO_LONGER_PERMITTED)
            }
        }
    }

    override fun cancel() {
        isCancelled = true
        started?.cancel()
    }

    override fun setReading(isWanted: Boolean) {
        started?.setReading(isWanted)
    }

    override fun fail(reason: String) {
        started?.fail(reason)
    }

    override fun expectRefusal() {
        started?.expectRefusal()
    }
}

/** Reports that no connection could be opened, because of [cause]. */
internal fun ExchangeListener.connectFailed(cause: Throwable?) {
    val reason = cause?.message ?: "cancelled"
    when {
        cause.isRefusal() -> refused(reason)
        cause is ConnectTimeoutException || cause is NoRouteToHostException -> unreachable(reason)
        else -> notSent(reason)
    }
}

internal const val NO_LONGER_PERMITTED = "no longer permitted to be sent"

internal fun Channel.writeRequest(request: OutgoingRequest): ChannelFuture {
    val body = request.body.retainedDuplicate()
    val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method, request.uri, body)
    message.headers().add(request.headers)
    if (request.body.isReadable || request.method != HttpMethod.GET) {
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.readableBytes())
    }
    return writeAndFlush(message)
}

internal fun Throwable?.isRefusal() = this is ConnectException && this !is ConnectTimeoutException
