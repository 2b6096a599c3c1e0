/*
 * The listener for callers. Limits on header, body and idle time are those of the configuration in force when a
 * connection was opened.
 */
package io.teaselspring.daemon.gateway

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpServerCodec
import io.teaselspring.core.routing.CallerLimits
import java.net.InetSocketAddress

/** What the listener asks of the entry. */
internal class CallerConnectionParts(
    val loop: EventLoop,
    val nowMs: () -> Long,
    val limits: () -> CallerLimits,
    val isDraining: () -> Boolean,
    val run: (IncomingRequest, ResponseWriter) -> RequestHandle,
)

/** Listens for callers. */
internal class CallerConnections(
    private val parts: CallerConnectionParts,
) {
    private val open = LinkedHashSet<CallerConnection>()
    private var listener: Channel? = null

    /** Requests that have been read and not yet answered. */
    val running: Int get() = open.count { it.isBusy }

    fun listen(address: InetSocketAddress): Channel {
        val channel =
            ServerBootstrap()
                .group(parts.loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            val limits = parts.limits()
                            val codec = HttpServerCodec(limits.headerBytes, limits.headerBytes, MAX_PIECE_BYTES)
                            channel.pipeline().addLast(codec, CallerConnection(parts, limits, open))
                        }
                    },
                ).bind(address)
                .sync()
                .channel()
        listener = channel
        return channel
    }

    /** Closes connections that have been idle, or slow to send a header, for longer than allowed. */
    fun sweep() {
        val now = parts.nowMs()
        open.filter { it.isOverdue(now) }.forEach { it.close() }
    }

    fun stopListening() {
        listener?.close()
    }

    private companion object {
        const val BACKLOG = 1024
        const val MAX_PIECE_BYTES = 64 * 1024
    }
}
