/*
 * One keep-alive connection of the HTTP/1.1 client. Matches a response to its request by the echoed request id, and
 * detects truncated, malformed and duplicate responses, and those joined from two. A response counts as complete when
 * all that has arrived with its end has been looked at.
 */
package io.teaselspring.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** A connection to [server]. It is closed after any event that leaves its protocol state uncertain. */
internal class HttpConnection(
    private val server: ServerConnections,
) : ChannelInboundHandlerAdapter() {
    val writeProgress = WriteProgress()

    /** When the server's process started, in Unix milliseconds, if it has stated that on this connection. */
    var processStartedAtMs: Long? = null
    private lateinit var channel: Channel
    private var request: OutgoingRequest? = null
    private var listener: ExchangeListener? = null
    private var writeFuture: ChannelFuture? = null
    private var response: HttpResponse? = null

    /** The head of the response that is being received, also of one that is skipped. */
    private var currentHead: HttpResponse? = null
    private var decoder: ResponseDecoder? = null
    private val earlierIds = ArrayDeque<String>()
    private var exchanges = 0
    private var hasBytesBehind = false
    private var bodyBytes = 0L
    private var isEnding = false
    private var isSkipping = false
    private var skippedHeads = 0
    private var skippedBytes = 0L
    private var failure: String? = null
    private var expiresAtMs = Long.MAX_VALUE
    private var isRefusal = false

    /** Sets [channel] here because channelActive runs only after the listeners of the connect future, which use it. */
    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
    }

    /** Whether the idle connection is open and another request may be sent on it. */
    fun isUsable(nowMs: Long): Boolean = channel.isActive && listener == null && nowMs < expiresAtMs

    fun close() {
        channel.close()
    }

    /** Sends [request] and passes its response to [listener]. */
    fun start(
        request: OutgoingRequest,
        listener: ExchangeListener,
    ): Exchange {
        this.request?.requestId?.let(::rememberId)
        exchanges += 1
        this.request = request
        this.listener = listener
        response = null
        currentHead = null
        hasBytesBehind = false
        bodyBytes = 0
        isEnding = false
        isRefusal = false
        isSkipping = false
        skippedHeads = 0
        skippedBytes = 0
        decoder = ResponseDecoder(request.method, ::headProof).also { channel.pipeline().addFirst(it) }
        writeProgress.hasWritten = false
        writeFuture = channel.writeRequest(request)
        return RunningExchange(listener)
    }

    private fun rememberId(id: String) {
        earlierIds.addLast(id)
        if (earlierIds.size > MAX_EARLIER_IDS) earlierIds.removeFirst()
    }

    private inner class RunningExchange(
        private val exchangeListener: ExchangeListener,
    ) : Exchange {
        override val isSent: Boolean get() = true

        override fun cancel() {
            if (listener !== exchangeListener) return
            listener = null
            close()
        }

        override fun setReading(isWanted: Boolean) {
            if (listener === exchangeListener) channel.config().isAutoRead = isWanted
        }

        override fun fail(reason: String) {
            if (listener === exchangeListener) this@HttpConnection.fail(reason)
        }

        override fun expectRefusal() {
            if (listener === exchangeListener) isRefusal = true
        }
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            when {
                listener == null -> onUnexpected(message)
                message is ByteBuf -> addBehind(message)
                message is HttpObject && message.decoderResult().isFailure ->
                    fail("unreadable answer: ${message.decoderResult().cause().message}")
                else -> {
                    if (message is HttpResponse) onHead(message)
                    if (message is HttpContent) onContent(message)
                }
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** The bytes belong to no request, so the stream is out of step. */
    private fun onUnexpected(message: Any) {
        if (isSkipping) return
        if (message is ByteBuf && channel.isActive) reportOutOfStep(OutOfStepKind.IDLE_BYTES)
        close()
    }

    private fun reportOutOfStep(kind: OutOfStepKind) = server.reportOutOfStep(kind, request?.requestId)

    private fun onHead(head: HttpResponse) {
        val sent = request ?: return
        val problem = head.headProblem(sent.idHeader.takeUnless { sent.mayOmitId })
        val isInformational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
        currentHead = head
        when {
            problem != null -> {
                reportOutOfStep(OutOfStepKind.JOINED_HEAD)
                fail("not the head of one response: $problem")
            }
            isInformational -> skipHead()
            // A duplicate response to an earlier request may arrive in place of the response to this one.
            !sent.acceptsResponse(head) -> {
                reportOutOfStep(OutOfStepKind.OTHER_RESPONSE)
                skipHead()
            }
            !sent.isEchoedBy(head) -> fail("response without the request's id")
            else -> {
                isSkipping = false
                response = head
                if (head.mayEndUnread(sent)) channel.keepOpenAfterInput()
                listener?.head(head)
            }
        }
    }

    /**
     * Heads in a body may be quoted, unless its type has no place for them; heads in a head never are. A refusal that
     * quotes one proves nothing either.
     */
    private fun headProof(): HeadProof {
        val sent = request
        val head = currentHead
        val hasNoQuotes = head?.hasBodyWithoutQuotes() == true
        return HeadProof(
            sent?.idHeader,
            isOwnId = { it == sent?.requestId || it in earlierIds },
            isInRequest = { sent?.body?.contains(it) == true },
            isAnonymousProof = head == null || isRefusal || hasNoQuotes,
            mayEndInStatusLine = !hasNoQuotes || head.isEncoded(),
        )
    }

    private fun skipHead() {
        isSkipping = true
        skippedHeads += 1
        if (skippedHeads > MAX_SKIPPED_HEADS) fail("more than $MAX_SKIPPED_HEADS heads before the response")
    }

    private fun skipBody(content: HttpContent) {
        skippedBytes += content.content().readableBytes()
        if (skippedBytes > MAX_SKIPPED_BYTES) fail("more than $MAX_SKIPPED_BYTES bytes before the response")
    }

    private fun onContent(content: HttpContent) {
        if (isSkipping) {
            skipBody(content)
        } else {
            bodyBytes += content.content().readableBytes()
            listener?.body(content.content())
        }
        if (content !is LastHttpContent) return
        currentHead = null
        if (isSkipping) {
            isSkipping = false
            return
        }
        val cause = failure ?: truncation() ?: content.trailingHeaders().statusLineProblem()
        if (cause != null) return fail(cause)
        if (isHalfClosed) return endUnlessReset()
        isEnding = true
        // The decoder passes on what it has got behind the response.
        channel.pipeline().remove(decoder)
        if (!channel.isActive) endResponse()
    }

    private val isHalfClosed: Boolean get() = channel.isActive && (channel as DuplexChannel).isInputShutdown

    private fun endUnlessReset() {
        val ended = listener
        channel.checkReset { isReset ->
            if (listener !== ended) return@checkReset
            if (isReset) fail("connection reset before the whole request was read") else endResponse()
        }
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        // The other side stays open only for a response that ends with this one.
        val hasEnded = currentHead == null
        if (event is ChannelInputShutdownEvent && !hasEnded) close()
    }

    private fun addBehind(bytes: ByteBuf) {
        if (hasBytesBehind) return
        hasBytesBehind = true
        reportOutOfStep(OutOfStepKind.BYTES_BEHIND)
        val isOfOther = decoder?.hasStatusLineInside == true && !mayBeStatusLine(bytes, bytes.readerIndex())
        if (isOfOther) fail("the body ends inside another response")
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (isEnding) endResponse()
    }

    private fun endResponse() {
        // On a connection that was used before, a response without an id may be a late copy, and what follows it the
        // response to this request.
        val mayBeCopy = request?.requestId == null && exchanges > 1
        val isUnproven = isRefusal || mayBeCopy
        if (isUnproven && hasBytesBehind) fail("bytes follow a response that proves nothing then") else complete()
    }

    /**
     * Why the end of the connection is not the end of the body, or null. The connection ends in the same way when the
     * server's process exits before the body, or when a reset is noticed while the request is written.
     */
    private fun truncation(): String? {
        val method = request?.method ?: return null
        return when {
            response?.bodyFraming(method) != BodyFraming.UNTIL_CLOSE -> null
            bodyBytes == 0L -> "connection closed before the body"
            writeFuture?.isSuccess != true -> "connection closed while the request was written"
            else -> null
        }
    }

    private fun complete() {
        val completed = listener ?: return
        val head = response
        listener = null
        channel.config().isAutoRead = true
        val idleMs = head?.takeIf { HttpUtil.isKeepAlive(it) }?.idleTimeoutMs() ?: 0
        // The server may have responded before it read the whole request body, and would parse the rest as a request.
        val isWritten = writeFuture?.isSuccess == true
        val isInStep = isWritten && !isRefusal && !hasBytesBehind && !isHalfClosed
        if (isInStep && idleMs > 0) {
            expiresAtMs = server.now() + idleMs
            server.release(this)
        } else {
            close()
        }
        completed.end()
    }

    private fun fail(reason: String) {
        val current = listener
        listener = null
        close()
        // A write that fails as a whole leaves nothing with the system, so the server cannot get the request.
        val isUnsent = !writeProgress.hasWritten && currentHead == null && response == null
        if (isUnsent) current?.notSent(reason) else current?.broken(reason)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        failure = cause.message ?: cause.javaClass.simpleName
        if (cause is JoinedResponseException) reportOutOfStep(OutOfStepKind.EMBEDDED_RESPONSE)
        if (cause is JoinedResponseException) fail(cause.message.orEmpty()) else ctx.close()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        server.remove(this)
        if (isEnding) endResponse() else fail(failure ?: "connection closed")
    }

    private companion object {
        /** Limits of informational responses and responses to other requests; a faulty server may send without end. */
        const val MAX_SKIPPED_HEADS = 16
        const val MAX_SKIPPED_BYTES = 1024 * 1024
        const val MAX_EARLIER_IDS = 8
    }
}
