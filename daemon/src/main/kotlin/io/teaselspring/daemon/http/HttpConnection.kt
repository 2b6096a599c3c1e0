/*
 * One connection to an HTTP server: matches answers to the request by the echoed id, and tells a complete response from
 * one that was cut off, garbled or doubled.
 */
package io.teaselspring.daemon.http

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** A connection; it is closed after anything that leaves its state in doubt. */
internal class HttpConnection(
    private val server: ServerConnections,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var request: OutgoingRequest? = null
    private var listener: ExchangeListener? = null
    private var written: ChannelFuture? = null
    private var response: HttpResponse? = null
    private var skipping = false
    private var failure: String? = null
    private var expiresAtMs = Long.MAX_VALUE

    /** Earlier than channelActive, which comes after the connect future has told its listeners. */
    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
    }

    /** Whether another request may be sent on this kept connection. */
    fun isUsable(nowMs: Long): Boolean = channel.isActive && listener == null && nowMs < expiresAtMs

    fun close() {
        channel.close()
    }

    /** Starts an exchange. */
    fun start(
        request: OutgoingRequest,
        listener: ExchangeListener,
    ): Exchange {
        this.request = request
        this.listener = listener
        response = null
        skipping = false
        written = channel.writeRequest(request)
        return RunningExchange(listener)
    }

    private inner class RunningExchange(
        private val own: ExchangeListener,
    ) : Exchange {
        override fun cancel() {
            if (listener !== own) return
            listener = null
            close()
        }

        override fun setReading(isWanted: Boolean) {
            if (listener === own) channel.config().isAutoRead = isWanted
        }
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (listener == null) {
                // Bytes that belong to no request.
                if (!skipping) close()
                return
            }
            if (message is HttpObject && message.decoderResult().isFailure) {
                fail("unreadable answer: ${message.decoderResult().cause().message}")
                return
            }
            if (message is HttpResponse) head(message)
            if (message is HttpContent) content(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun head(head: HttpResponse) {
        val sent = request ?: return
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipping = true
            return
        }
        // A second response to an earlier request may stand where this one's is due.
        skipping = !sent.acceptsResponse(head)
        if (skipping) return
        response = head
        listener?.head(head)
    }

    private fun content(content: HttpContent) {
        if (!skipping) listener?.body(content.content())
        if (content !is LastHttpContent) return
        if (skipping) {
            skipping = false
            return
        }
        val cause = failure
        if (cause != null) fail(cause) else finish()
    }

    private fun finish() {
        val done = listener ?: return
        val head = response
        listener = null
        request = null
        channel.config().isAutoRead = true
        val keepMs = head?.takeIf { HttpUtil.isKeepAlive(it) }?.keepMs() ?: 0
        // The server may have answered before it read the whole body; what is left of it would be taken as a request.
        val isWritten = written?.isSuccess == true
        if (isWritten && keepMs > 0) {
            expiresAtMs = server.now() + keepMs
            server.keep(this)
        } else {
            close()
        }
        done.end()
    }

    private fun fail(reason: String) {
        val current = listener
        listener = null
        close()
        current?.broken(reason)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        failure = cause.message ?: cause.javaClass.simpleName
        ctx.close()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        server.closed(this)
        fail(failure ?: "connection closed")
    }

    private fun OutgoingRequest.acceptsResponse(head: HttpResponse): Boolean {
        val expected = requestId ?: return true
        val echoed = head.headers()[idHeader]
        if (echoed != null) return echoed == expected
        return head.status().codeClass() != HttpStatusClass.SUCCESS
    }

    /** How long the connection may stay idle: less than the server says, as the response took time to arrive. */
    private fun HttpResponse.keepMs(): Long {
        val keepAlive = headers()["Keep-Alive"] ?: return DEFAULT_KEEP_MS
        val seconds =
            KEEP_TIMEOUT
                .find(keepAlive)
                ?.groupValues
                ?.get(1)
                ?.toLongOrNull() ?: return DEFAULT_KEEP_MS
        return seconds * MILLIS_PER_S - KEEP_MARGIN_MS
    }

    private companion object {
        const val MILLIS_PER_S = 1000L
        const val KEEP_MARGIN_MS = 700L
        const val DEFAULT_KEEP_MS = 2_000L
        val KEEP_TIMEOUT = Regex("timeout=(\\d+)")
    }
}
