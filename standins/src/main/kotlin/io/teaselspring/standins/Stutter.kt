/*
 * Breaks off a share of a server's responses at a random byte and goes on with another whole response on the same
 * connection, as a server does that has fallen out of step. Only requests with an id are affected, so that health and
 * journals stay readable.
 */
package io.teaselspring.standins

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import kotlin.random.Random

/** How often a server stutters: in [share] of its responses, which [seed] chooses. */
internal data class Stutter(
    val share: Double = 0.0,
    val seed: Int = 1,
)

/** Stutters in [share] of the responses on one connection. */
internal class StutterHandler(
    private val share: Double,
    private val random: Random,
) : ChannelDuplexHandler() {
    private var requestId: String? = null

    /** Bytes of the response that are still written, or null if it is written whole. */
    private var bytesUntilCut: Int? = null

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is ByteBuf) {
            val text = message.toString(Charsets.ISO_8859_1)
            if (REQUEST_LINE.containsMatchIn(text)) beginExchange(REQUEST_ID.find(text)?.groupValues?.get(1))
        }
        super.channelRead(ctx, message)
    }

    private fun beginExchange(id: String?) {
        requestId = id
        bytesUntilCut = random.nextInt(1, MAX_BYTES_UNTIL_CUT).takeIf { id != null && random.nextDouble() < share }
    }

    override fun write(
        ctx: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        val left = bytesUntilCut
        if (left == null || message !is ByteBuf) {
            super.write(ctx, message, promise)
            return
        }
        val count = message.readableBytes()
        bytesUntilCut = maxOf(0, left - count)
        if (count < left) {
            super.write(ctx, message, promise)
        } else {
            val other = if (left > 0) Unpooled.copiedBuffer(otherResponse(), Charsets.UTF_8) else Unpooled.EMPTY_BUFFER
            super.write(ctx, Unpooled.wrappedBuffer(message.readRetainedSlice(left), other), promise)
            message.release()
        }
    }

    private fun otherResponse(): String {
        val body = """{"error":{"message":"another response to $requestId"}}"""
        val fields = "X-Request-Id: $requestId\r\nContent-Type: application/json\r\nContent-Length: ${body.length}"
        return "HTTP/1.1 500 Internal Server Error\r\n$fields\r\n\r\n$body"
    }

    private companion object {
        /** About the size of a short response with its head. */
        const val MAX_BYTES_UNTIL_CUT = 200
        val REQUEST_LINE = Regex("^[A-Z]+ /")
        val REQUEST_ID = Regex("\r\nX-Request-Id: *([^\r\n]+)\r\n", RegexOption.IGNORE_CASE)
    }
}
