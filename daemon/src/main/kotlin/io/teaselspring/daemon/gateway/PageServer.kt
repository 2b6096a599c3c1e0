/*
 * HTTP server for fixed pages: readiness, metrics and the state dump.
 */
package io.teaselspring.daemon.gateway

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress

/** Body and status of a page. */
internal class Page(
    val body: String,
    val status: HttpResponseStatus = HttpResponseStatus.OK,
)

/** Serves [pages] by path at [address]; returns the address with the port that it got if [address] has port 0. */
internal fun servePages(
    loop: EventLoop,
    address: InetSocketAddress,
    pages: Map<String, () -> Page>,
): InetSocketAddress =
    ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(
                        HttpServerCodec(),
                        HttpObjectAggregator(MAX_BODY_BYTES),
                        PageHandler(pages),
                    )
                }
            },
        ).bind(address)
        .sync()
        .channel()
        .localAddress() as InetSocketAddress

private const val MAX_BODY_BYTES = 16 * 1024

private class PageHandler(
    private val pages: Map<String, () -> Page>,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    override fun channelRead0(
        context: ChannelHandlerContext,
        request: FullHttpRequest,
    ) {
        val page = pages[request.uri().substringBefore('?')]?.invoke() ?: Page("", HttpResponseStatus.NOT_FOUND)
        val body = Unpooled.wrappedBuffer(page.body.encodeToByteArray())
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, page.status, body)
        response.headers()[HttpHeaderNames.CONTENT_LENGTH] = body.readableBytes()
        val isKept = HttpUtil.isKeepAlive(request)
        if (!isKept) response.headers()[HttpHeaderNames.CONNECTION] = "close"
        val sent = context.writeAndFlush(response)
        if (!isKept) sent.addListener(ChannelFutureListener.CLOSE)
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        context.close()
    }
}
