/*
 * HTTP messages of later requests on a connection, kept while a response is in progress. They have been read before
 * they can be counted; reading stops when they are too many, or do not fit into the memory.
 */
package io.teaselspring.daemon.gateway

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.ReferenceCountUtil
import java.util.ArrayDeque

/** The pipelined messages of one connection, which [budget] counts. */
internal class PipelinedMessages(
    budget: ByteBudget,
) {
    private val messages = ArrayDeque<HttpObject>()
    private val share = budget.Share()
    private var fits = true

    /** Whether the connection may be read. */
    val mayRead: Boolean get() = messages.isEmpty() || (fits && messages.size <= MAX_MESSAGES)

    /** Whether a request has begun among them. */
    val hasRequest: Boolean get() = messages.any { it is HttpRequest }

    fun add(message: HttpObject) {
        messages.addLast(message)
        val bytes = message.keptBytes()
        fits = share.grow(bytes)
        if (!fits) share.add(bytes)
    }

    /** Takes the next message out. */
    fun poll(): HttpObject? = messages.pollFirst()?.also { share.add(-it.keptBytes()) }

    fun release() {
        messages.forEach { ReferenceCountUtil.release(it) }
        messages.clear()
        share.release()
    }

    private fun HttpObject.keptBytes(): Long {
        val headBytes =
            if (this is HttpRequest) {
                uri().length +
                    headers().sumOf {
                        it.key.length + it.value.length
                    }
            } else {
                0
            }
        val bodyBytes = if (this is HttpContent) content().readableBytes() else 0
        return OVERHEAD_BYTES + headBytes + bodyBytes
    }

    private companion object {
        const val MAX_MESSAGES = 64

        /** What the objects of a message take beside its text, estimated. */
        const val OVERHEAD_BYTES = 512L
    }
}
