/*
 * Decodes the response to one request, and finds another response that begins inside it: a server that breaks a
 * response off and then writes another one on the connection makes a parser read one from both. The bytes are looked at
 * before they are decoded, because a parser may swallow the second status line, for example as the rest of a chunk's
 * size.
 */
package io.teaselspring.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

private const val MAX_HEADER_BYTES = 64 * 1024

private val decoderConfig =
    HttpDecoderConfig()
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxInitialLineLength(MAX_HEADER_BYTES)
        .setHeadersFactory(DefaultHttpHeadersFactory.headersFactory())
        .setStrictLineParsing(true)

/** Passed down the pipeline when another response begins inside the current one. */
internal class JoinedResponseException : Exception("another response begins inside the response")

/**
 * Decodes the response to a request with [method]; [proof] tells heads of other responses from quoted ones. A decoder
 * serves one exchange, so that no state outlives it. Bytes that it has got behind the response are passed on when it is
 * removed from the pipeline.
 */
internal class ResponseDecoder(
    private val method: HttpMethod,
    private val proof: () -> HeadProof,
) : HttpResponseDecoder(decoderConfig) {
    /** Bytes that may be the start of another response, of which too few have arrived. */
    private val held = Unpooled.buffer(0)
    private var heldCandidates = 0
    private val fieldLines = FieldLineCheck()
    private var isAtStart = true
    private var isJoined = false

    /** Whether the line of a status stands inside the response; it may be quoted. */
    var hasStatusLineInside = false
        private set

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (message !is ByteBuf) return super.channelRead(ctx, message)
        val isHolding = held.isReadable
        val bytes =
            if (held.isReadable) {
                Unpooled.wrappedBuffer(held.readBytes(held.readableBytes()), message).also { held.clear() }
            } else {
                message
            }
        try {
            decodeUpToCandidates(ctx, bytes, isHolding)
        } finally {
            bytes.release()
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        endHold(ctx)
        super.channelInactive(ctx)
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is ChannelInputShutdownEvent) endHold(ctx)
        super.userEventTriggered(ctx, event)
    }

    /** The server has ended the connection: no further bytes decide what those held back are. */
    private fun endHold(ctx: ChannelHandlerContext) {
        if (held.isReadable && isHeldProof()) refuse(ctx)
        decodeHeld(ctx)
    }

    /**
     * Decodes [bytes] up to where another response may begin inside the current one, and keeps the rest. With
     * [isHolding] they begin with such a place, of which too few bytes had arrived before.
     */
    private fun decodeUpToCandidates(
        ctx: ChannelHandlerContext,
        bytes: ByteBuf,
        isHolding: Boolean,
    ) {
        val start = bytes.readerIndex()
        var searchFrom = start
        while (bytes.isReadable && !isJoined) {
            val candidate = nextCandidate(bytes, searchFrom)
            decodeNext(ctx, bytes, candidate - bytes.readerIndex())
            if (!bytes.isReadable || ctx.isRemoved) break
            val match = if (expectsHead) HeadMatch.NONE else matchHead(bytes, candidate, proof())
            when (match) {
                HeadMatch.NONE -> Unit
                HeadMatch.STATUS_LINE -> hasStatusLineInside = true
                HeadMatch.PARTIAL -> return hold(ctx, bytes, isNew = !isHolding || bytes.readerIndex() > start)
                HeadMatch.HEAD -> refuse(ctx)
            }
            searchFrom = candidate + 1
        }
        if (ctx.isRemoved && bytes.isReadable) ctx.fireChannelRead(bytes.readRetainedSlice(bytes.readableBytes()))
    }

    /** The position of the next bytes that may be a status line, from [from] on, or the end of [bytes]. */
    private fun nextCandidate(
        bytes: ByteBuf,
        from: Int,
    ): Int {
        var at = from
        while (true) {
            at = bytes.indexOf(at, bytes.writerIndex(), HEAD_START)
            if (at < 0) return bytes.writerIndex()
            if (mayBeStatusLine(bytes, at)) return at
            at += 1
        }
    }

    private fun decodeNext(
        ctx: ChannelHandlerContext,
        bytes: ByteBuf,
        count: Int,
    ) {
        if (count > 0) super.channelRead(ctx, bytes.readRetainedSlice(count))
    }

    private fun refuse(ctx: ChannelHandlerContext) {
        isJoined = true
        ctx.fireExceptionCaught(JoinedResponseException())
    }

    /** Keeps [bytes] until more arrive; for [UNDECIDED_MS] if the body may end with them or quote a response. */
    private fun hold(
        ctx: ChannelHandlerContext,
        bytes: ByteBuf,
        isNew: Boolean,
    ) {
        held.writeBytes(bytes)
        if (!isNew) return
        heldCandidates += 1
        val candidate = heldCandidates
        val onTimeout = { if (heldCandidates == candidate && !ctx.isRemoved && !isHeldProof()) decodeHeld(ctx) }
        ctx.executor().schedule(onTimeout, UNDECIDED_MS, TimeUnit.MILLISECONDS)
    }

    /** Whether no sound body of this kind ends with the bytes held back. */
    private fun isHeldProof(): Boolean {
        val proof = proof()
        return if (isHeldWhole) proof.isAnonymousProof else !proof.mayEndInStatusLine
    }

    /** Whether the bytes held back show that their first line is one of a status. */
    private val isHeldWhole: Boolean get() = held.readableBytes() >= STATUS_LINE_START_BYTES

    /** Decodes what was held back, because no further bytes show that it begins another response. */
    private fun decodeHeld(ctx: ChannelHandlerContext) {
        if (!held.isReadable || isJoined) return
        heldCandidates += 1
        val remainsInside = hasStatusLineInside || isHeldWhole
        // They may be the first bytes of another response: a body whose end is among them is not complete.
        hasStatusLineInside = true
        try {
            super.channelRead(ctx, held.readBytes(held.readableBytes()))
            held.clear()
            hasStatusLineInside = remainsInside
            ctx.fireChannelReadComplete()
        } catch (e: Exception) {
            ctx.fireExceptionCaught(e)
        }
    }

    /** Whether a response may begin with the next byte. */
    private val expectsHead: Boolean get() = isAtStart && actualReadableBytes() == 0

    override fun decode(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        val start = buffer.readerIndex()
        super.decode(ctx, buffer, out)
        if (isAtStart && buffer.readerIndex() > start) {
            isAtStart = false
            hasStatusLineInside = false
        }
        val isFailed = out.any { it is HttpObject && it.decoderResult().isFailure }
        if (!isFailed && !fieldLines.accepts(buffer, start, out)) replaceByFailure(out)
        if (out.lastOrNull() is LastHttpContent) isAtStart = true
    }

    private fun replaceByFailure(out: MutableList<Any>) {
        out.forEach(ReferenceCountUtil::release)
        out.clear()
        val cause = IllegalArgumentException("malformed field line")
        out += createInvalidMessage().apply { decoderResult = DecoderResult.failure(cause) }
    }

    override fun isContentAlwaysEmpty(message: HttpMessage) =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    /** Refuses a status line that the decoder accepts, although it is not one of HTTP. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (_, status, reason) = initialLine
        require(STATUS.matches(status)) { "status is not three digits from 100 to 599" }
        require(reason.none(::isControl)) { "control character in the reason phrase" }
        return super.createMessage(initialLine)
    }

    private companion object {
        /** Time for the rest of a status line that was split between two packets. */
        const val UNDECIDED_MS = 50L
        const val HEAD_START = 'H'.code.toByte()
        val STATUS = Regex("[1-5][0-9]{2}")

        fun isControl(char: Char) = char < ' ' && char != '\t' || char == '\u007f'
    }
}
