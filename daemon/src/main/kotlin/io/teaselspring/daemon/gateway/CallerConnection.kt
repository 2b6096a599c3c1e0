/*
 * HTTP/1.1 server connection of a caller: buffers each request whole and processes pipelined requests one at a time.
 * While too many pipelined messages are queued, or too many bytes, reading from the socket stops (backpressure).
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil

/** One connection of a caller, on the event loop of the entry. */
internal class CallerConnection(
    private val context: CallerConnectionContext,
    private val openConnections: MutableSet<CallerConnection>,
) : ChannelInboundHandlerAdapter(),
    ResponseWriter {
    private lateinit var channel: Channel
    private val pipelined = PipelinedMessages(context.memory)
    private var requestHead: HttpRequest? = null
    private var partialBody: CompositeByteBuf? = null
    private var bodyMemory = context.memory.Share()
    private var execution: RequestHandle? = null
    private var requestNumber = 0L
    private var isResponding = false
    private var keepAlive = true
    private var acceptsChunks = true
    private var isClosing = false

    /** Whether the rest of a refused request is read and dropped, so that its sender gets to read the refusal. */
    private var isDiscarding = false
    private var lastProgressMs = 0L
    private var hasReceivedRequest = false

    /** The limits in force when the request that is being received began. */
    private var requestLimits = context.limits()

    /** Whether the response in progress is to a HEAD request. */
    var isHeadRequest = false
        private set

    private val unsent = UnsentResponse()

    /**
     * Whether a request is being received or responded to. A response has ended when its last byte is written to the
     * socket; a caller that reads nothing of it does not count.
     */
    fun isBusy(nowMs: Long): Boolean =
        isResponding || requestHead != null || unsent.isRead(channel, nowMs, MAX_READING_PAUSE_MS)

    /** Ends the request in progress with a response, because the process stops. */
    fun endRequest() {
        execution?.entryStopped()
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
        lastProgressMs = context.nowMs()
        openConnections += this
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        openConnections -= this
        releaseBody()
        requestHead = null
        pipelined.release()
        execution?.callerDisconnected()
        execution = null
        isResponding = false
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        execution?.writabilityChanged(channel.isWritable)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    fun isOverdue(nowMs: Long): Boolean {
        val limits = if (requestHead == null) context.limits() else requestLimits
        if (isResponding || unsent.isRead(channel, nowMs, limits.idleTimeoutMs)) return false
        val isReceiving = requestHead != null || !hasReceivedRequest
        return nowMs - lastProgressMs > if (isReceiving) limits.headerTimeoutMs else limits.idleTimeoutMs
    }

    fun close() {
        channel.close()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) = receive(message)

    private fun receive(message: Any) {
        if (isDiscarding && message is LastHttpContent) {
            ReferenceCountUtil.release(message)
            closeAfterDiscarding()
        } else if (isClosing || message !is HttpObject) {
            ReferenceCountUtil.release(message)
        } else if (isResponding) {
            pipelined.add(message)
            if (!pipelined.mayRead) channel.config().isAutoRead = false
        } else {
            process(message)
        }
    }

    private fun process(message: HttpObject) {
        try {
            if (message.decoderResult().isFailure) {
                reject(statusOf(message.decoderResult().cause()))
                return
            }
            if (message is HttpRequest) beginRequest(message)
            if (message is HttpContent && requestHead != null) appendBody(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun beginRequest(head: HttpRequest) {
        hasReceivedRequest = true
        lastProgressMs = context.nowMs()
        requestLimits = context.limits()
        isHeadRequest = head.method() == HttpMethod.HEAD
        val headers = head.headers()
        val length = HttpUtil.getContentLength(head, 0L)
        when {
            !headers.stateOneFraming() || !head.uri().isPrintableAscii() -> reject(HttpResponseStatus.BAD_REQUEST)
            headers.getAll(HttpHeaderNames.HOST).size != 1 -> reject(HttpResponseStatus.BAD_REQUEST)
            length > requestLimits.bodyBytes -> reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            !startShare(headers).grow(length) -> refuseForMemory(headers)
            else -> {
                requestHead = head
                keepAlive = HttpUtil.isKeepAlive(head)
                acceptsChunks = head.protocolVersion() >= HttpVersion.HTTP_1_1
                partialBody = Unpooled.compositeBuffer(MAX_BODY_COMPONENTS)
                if (HttpUtil.is100ContinueExpected(head)) {
                    channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
                }
            }
        }
    }

    private fun startShare(headers: HttpHeaders) =
        context.memory.Share(context.organisationOf(headers)).also { bodyMemory = it }

    private fun appendBody(content: HttpContent) {
        val requestBody = partialBody ?: return
        lastProgressMs = context.nowMs()
        if (requestBody.readableBytes() + content.content().readableBytes() > requestLimits.bodyBytes) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        val head = requestHead ?: return
        val count = content.content().readableBytes()
        val isDeclared = HttpUtil.isContentLengthSet(head)
        if (!isDeclared && !bodyMemory.grow(count.toLong())) {
            refuseForMemory(head.headers())
            if (content is LastHttpContent) closeAfterDiscarding()
            return
        }
        if (count > 0) requestBody.addComponent(true, content.content().retain())
        if (content is LastHttpContent) {
            requestHead = null
            partialBody = null
            isResponding = true
            val memory = bodyMemory
            bodyMemory = context.memory.Share()
            val request = IncomingRequest(head.method(), head.uri(), head.headers(), requestBody, memory)
            val number = ++requestNumber
            val handle = context.execute(request, this)
            // The request may have been responded to before execute() returned, and a pipelined one have begun.
            if (isResponding && number == requestNumber) execution = handle
        }
    }

    private fun statusOf(cause: Throwable?) =
        when (cause) {
            is TooLongHttpHeaderException,
            is TooLongHttpLineException,
            -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            else -> HttpResponseStatus.BAD_REQUEST
        }

    private fun releaseBody() {
        partialBody?.release()
        partialBody = null
        bodyMemory.release()
    }

    /** Refuses the request at once and drops its body as it arrives. */
    private fun refuseForMemory(requestHeaders: HttpHeaders) {
        releaseBody()
        requestHead = null
        keepAlive = false
        isClosing = true
        isDiscarding = true
        val headers = context.refuseForMemory(requestHeaders)
        headers[HttpHeaderNames.CONTENT_LENGTH] = 0
        setConnection(headers)
        val status = HttpResponseStatus.SERVICE_UNAVAILABLE
        val body = Unpooled.EMPTY_BUFFER
        channel.writeAndFlush(
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, DefaultHttpHeaders()),
        )
    }

    private fun closeAfterDiscarding() {
        isDiscarding = false
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
    }

    private fun reject(status: HttpResponseStatus) {
        releaseBody()
        requestHead = null
        keepAlive = false
        isClosing = true
        isResponding = true
        respond(status, DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER)
    }

    override fun writeHead(
        status: HttpResponseStatus,
        headers: HttpHeaders,
    ) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers)
        HttpUtil.setTransferEncodingChunked(response, acceptsChunks)
        // Without chunks the end of the connection is the end of the body.
        if (!acceptsChunks) keepAlive = false
        setConnection(headers)
        channel.write(response, channel.voidPromise())
    }

    override fun writeBody(
        chunk: ByteBuf,
        memory: StreamShare,
    ) = memory.write(channel, chunk)

    override fun end() {
        finishResponse(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    override fun respond(
        status: HttpResponseStatus,
        headers: HttpHeaders,
        body: ByteBuf,
        onWritten: () -> Unit,
    ) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, DefaultHttpHeaders())
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        setConnection(headers)
        finishResponse(response, onWritten)
    }

    private fun setConnection(headers: HttpHeaders) {
        // A pipelined request that has been read is responded to before the connection is closed.
        if (context.isDraining() && !pipelined.hasRequest) keepAlive = false
        if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun finishResponse(
        last: HttpObject,
        onWritten: () -> Unit = {},
    ) {
        val written = channel.writeAndFlush(last)
        written.addListener {
            lastProgressMs = context.nowMs()
            onWritten()
        }
        execution = null
        isResponding = false
        lastProgressMs = context.nowMs()
        if (!keepAlive) {
            isClosing = true
            written.addListener(ChannelFutureListener.CLOSE)
        } else {
            processPipelined()
        }
    }

    private fun processPipelined() {
        while (!isResponding) receive(pipelined.poll() ?: break)
        if (isClosing || pipelined.mayRead) channel.config().isAutoRead = true
    }

    override fun abort() {
        isClosing = true
        execution = null
        isResponding = false
        // Without chunks only a reset shows that the body is incomplete.
        if (!acceptsChunks) channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    private companion object {
        /** A slow line moves some bytes at least this often; also the time for which a stop waits for a caller. */
        const val MAX_READING_PAUSE_MS = 2_000L
        const val MAX_BODY_COMPONENTS = 256
    }
}
