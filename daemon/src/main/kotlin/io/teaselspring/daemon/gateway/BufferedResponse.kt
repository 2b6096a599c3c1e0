/*
 * A response of an instance that is received whole before the caller gets it.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.teaselspring.daemon.http.MAX_BUFFERED_BODY_BYTES

/** A response, or its head while [body] is still empty. [memory] is the share of the entry's budget that it takes. */
internal class BufferedResponse(
    val status: HttpResponseStatus,
    val headers: HttpHeaders,
    private val memory: ByteBudget.Share,
    val body: ByteBuf = Unpooled.buffer(),
) {
    val isOversized: Boolean get() = body.readableBytes() > MAX_BUFFERED_BODY_BYTES

    /** Adds [piece]; returns false if the entry has no memory for it. */
    fun add(piece: ByteBuf): Boolean {
        val hasMemory = memory.grow(piece.readableBytes().toLong())
        if (hasMemory) body.writeBytes(piece, piece.readerIndex(), piece.readableBytes())
        return hasMemory
    }

    fun release() {
        body.release()
        memory.release()
    }

    /** Passes the response to [writer], which frees the body. */
    fun sendTo(writer: ResponseWriter) = writer.respond(status, headers, body, onWritten = memory::release)
}
