/*
 * HTTP/1.1 decoder of a caller's connection. The limit on the request line and the headers is the one in force when a
 * request begins, so that a kept connection follows the configuration.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.ByteToMessageDecoder
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent

/** Decodes requests whose request line and headers take at most [headerBytes] each. */
internal class RequestDecoder(
    private val headerBytes: () -> Int,
) : ByteToMessageDecoder() {
    private var decoder = LimitedRequestDecoder(headerBytes())

    override fun decode(
        ctx: ChannelHandlerContext,
        input: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (decoder.isBetweenRequests) useLimit(ctx, headerBytes())
        decoder.decode(ctx, input, out)
    }

    override fun decodeLast(
        ctx: ChannelHandlerContext,
        input: ByteBuf,
        out: MutableList<Any>,
    ) = decoder.decodeLast(ctx, input, out)

    override fun handlerRemoved0(ctx: ChannelHandlerContext) = decoder.handlerRemoved0(ctx)

    private fun useLimit(
        ctx: ChannelHandlerContext,
        headerBytes: Int,
    ) {
        if (headerBytes == decoder.headerBytes) return
        decoder.handlerRemoved0(ctx)
        decoder = LimitedRequestDecoder(headerBytes)
    }
}

/** The decoder for one limit, which Netty fixes at construction. Undecoded bytes remain with its owner. */
private class LimitedRequestDecoder(
    val headerBytes: Int,
) : HttpRequestDecoder(headerBytes, headerBytes, MAX_CHUNK_BYTES) {
    /** Whether no request line has been read since the last request ended. */
    var isBetweenRequests = true
        private set

    override fun createMessage(initialLine: Array<out String>): HttpMessage {
        isBetweenRequests = false
        return super.createMessage(initialLine)
    }

    public override fun decode(
        ctx: ChannelHandlerContext,
        input: ByteBuf,
        out: MutableList<Any>,
    ) {
        super.decode(ctx, input, out)
        // What follows a request that cannot be decoded is dropped and must not be read as another request.
        out.lastOrNull()?.let { isBetweenRequests = it is LastHttpContent && it.decoderResult().isSuccess }
    }

    public override fun decodeLast(
        ctx: ChannelHandlerContext,
        input: ByteBuf,
        out: MutableList<Any>,
    ) = super.decodeLast(ctx, input, out)

    public override fun handlerRemoved0(ctx: ChannelHandlerContext) = super.handlerRemoved0(ctx)

    private companion object {
        const val MAX_CHUNK_BYTES = 64 * 1024
    }
}
