/*
 * One connection of a caller: reads its requests whole and answers them one after the other.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.teaselspring.core.routing.CallerLimits
import java.util.ArrayDeque

/** One connection of a caller. */
internal class CallerConnection(
    private val parts: CallerConnectionParts,
    private val limits: CallerLimits,
    private val open: MutableSet<CallerConnection>,
) : ChannelInboundHandlerAdapter(),
    ResponseWriter {
    private lateinit var channel: Channel
    private val waiting = ArrayDeque<HttpObject>()
    private var reading: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var current: RequestHandle? = null
    private var responding = false
    private var keepAlive = true
    private var isClosing = false
    private var quietSinceMs = 0L
    private var hasSentRequest = false

    val isBusy: Boolean get() = responding || reading != null

    override fun channelActive(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
        quietSinceMs = parts.nowMs()
        open += this
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        open -= this
        body?.release()
        body = null
        reading = null
        waiting.forEach { ReferenceCountUtil.release(it) }
        waiting.clear()
        current?.callerLeft()
        current = null
        responding = false
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        current?.writabilityChanged(channel.isWritable)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    fun isOverdue(nowMs: Long): Boolean {
        if (responding) return false
        val isReading = reading != null || !hasSentRequest
        return nowMs - quietSinceMs > if (isReading) limits.headerTimeoutMs else limits.idleTimeoutMs
    }

    fun close() {
        channel.close()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (isClosing || message !is HttpObject) {
            ReferenceCountUtil.release(message)
        } else if (responding) {
            waiting.addLast(message)
            if (waiting.size > MAX_WAITING) channel.config().isAutoRead = false
        } else {
            accept(message)
        }
    }

    private fun accept(message: HttpObject) {
        try {
            if (message.decoderResult().isFailure) {
                reject(statusOf(message.decoderResult().cause()))
                return
            }
            if (message is HttpRequest) begin(message)
            if (message is HttpContent && reading != null) add(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun begin(head: HttpRequest) {
        hasSentRequest = true
        quietSinceMs = parts.nowMs()
        val headers = head.headers()
        // Two framings in one request are how another request is hidden inside.
        val isAmbiguous =
            headers.contains(HttpHeaderNames.TRANSFER_ENCODING) && headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        val length = HttpUtil.getContentLength(head, 0L)
        when {
            isAmbiguous || headers.getAll(HttpHeaderNames.HOST).size != 1 -> reject(HttpResponseStatus.BAD_REQUEST)
            length > limits.bodyBytes -> reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            else -> {
                reading = head
                keepAlive = HttpUtil.isKeepAlive(head)
                body = Unpooled.compositeBuffer(MAX_COMPONENTS)
                if (HttpUtil.is100ContinueExpected(head)) {
                    channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
                }
            }
        }
    }

    private fun add(content: HttpContent) {
        val collected = body ?: return
        quietSinceMs = parts.nowMs()
        if (collected.readableBytes() + content.content().readableBytes() > limits.bodyBytes) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        if (content.content().isReadable) collected.addComponent(true, content.content().retain())
        if (content is LastHttpContent) {
            val head = reading ?: return
            reading = null
            body = null
            responding = true
            val handle = parts.run(IncomingRequest(head.method(), head.uri(), head.headers(), collected), this)
            // The run may have been answered already.
            if (responding) current = handle
        }
    }

    private fun statusOf(cause: Throwable?) =
        when (cause) {
            is TooLongHttpHeaderException,
            is TooLongHttpLineException,
            -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            else -> HttpResponseStatus.BAD_REQUEST
        }

    private fun reject(status: HttpResponseStatus) {
        body?.release()
        body = null
        reading = null
        keepAlive = false
        isClosing = true
        responding = true
        respond(status, DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER)
    }

    override fun head(
        status: HttpResponseStatus,
        headers: HttpHeaders,
    ) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers)
        HttpUtil.setTransferEncodingChunked(response, true)
        setConnection(headers)
        channel.write(response, channel.voidPromise())
    }

    override fun body(piece: ByteBuf) {
        channel.writeAndFlush(DefaultHttpContent(piece), channel.voidPromise())
    }

    override fun end() {
        finish(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    override fun respond(
        status: HttpResponseStatus,
        headers: HttpHeaders,
        body: ByteBuf,
    ) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, DefaultHttpHeaders())
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        setConnection(headers)
        finish(response)
    }

    private fun setConnection(headers: HttpHeaders) {
        if (parts.isDraining()) keepAlive = false
        if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun finish(last: HttpObject) {
        val sent = channel.writeAndFlush(last)
        current = null
        responding = false
        quietSinceMs = parts.nowMs()
        if (!keepAlive) {
            isClosing = true
            sent.addListener(ChannelFutureListener.CLOSE)
        } else {
            next()
        }
    }

    private fun next() {
        if (!channel.config().isAutoRead) channel.config().isAutoRead = true
        while (!responding && !isClosing) accept(waiting.pollFirst() ?: return)
    }

    override fun abort() {
        isClosing = true
        current = null
        responding = false
        channel.close()
    }

    private companion object {
        /** Decoded pieces of later requests that are kept while one is answered. */
        const val MAX_WAITING = 64
        const val MAX_COMPONENTS = 256
    }
}
