/*
 * Listener for callers. The limits on the header, body and timeout of a request are those in force when it begins, on a
 * kept connection too.
 */
package io.teaselspring.daemon.gateway

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpHeaders
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.routing.CallerLimits
import java.net.InetSocketAddress

/** What connections need of their entry. */
internal class CallerConnectionContext(
    val loop: EventLoop,
    val nowMs: () -> Long,
    val limits: () -> CallerLimits,
    val isDraining: () -> Boolean,
    val memory: ByteBudget,
    val organisationOf: (HttpHeaders) -> OrganisationId?,
    val refuseForMemory: (HttpHeaders) -> HttpHeaders,
    val execute: (IncomingRequest, ResponseWriter) -> RequestHandle,
)

/** Accepts connections of callers and tracks the open ones. */
internal class CallerConnections(
    private val context: CallerConnectionContext,
) {
    private val openConnections = LinkedHashSet<CallerConnection>()
    private var listener: Channel? = null

    /** Connections with a request that is being received or responded to. */
    val runningRequests: Int get() = context.nowMs().let { now -> openConnections.count { it.isBusy(now) } }

    fun listen(address: InetSocketAddress): Channel {
        val channel =
            ServerBootstrap()
                .group(context.loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            val connection = CallerConnection(context, openConnections)
                            channel.pipeline().addLast(
                                RequestDecoder { context.limits().headerBytes },
                                ResponseEncoder(connection::isHeadRequest),
                                connection,
                            )
                        }
                    },
                ).bind(address)
                .sync()
                .channel()
        listener = channel
        return channel
    }

    /** Closes connections that have exceeded the idle timeout, or the header timeout while a request is received. */
    fun closeOverdue() {
        val now = context.nowMs()
        openConnections.filter { it.isOverdue(now) }.forEach { it.close() }
    }

    /** Ends all requests in progress with a response. */
    fun endRequests() = openConnections.toList().forEach { it.endRequest() }

    fun stopListening() {
        listener?.close()
    }

    private companion object {
        const val BACKLOG = 1024
    }
}
