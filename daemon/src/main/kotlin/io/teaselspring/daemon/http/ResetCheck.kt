/*
 * Finds out whether a server has closed a connection without reading all of the request. Its kernel then sends a reset
 * right behind the end of the connection. A read does not report a reset that follows the end, but a write fails.
 */
package io.teaselspring.daemon.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.HttpResponse
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Whether a server that has not read all of [request] may end this response as if it were whole. */
internal fun HttpResponse.mayEndUnread(request: OutgoingRequest) =
    request.body.isReadable && bodyFraming(request.method) == BodyFraming.UNTIL_CLOSE

/** Keeps this channel open for writing when the server ends its side, as [checkReset] needs. */
internal fun Channel.keepOpenAfterInput() {
    config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
}

/**
 * Tells [onResult] whether the server has reset this channel, whose input has ended. The reset gets [delay] to arrive,
 * since one that comes late cannot be told from the answer to the bytes that are written here: an empty line, which a
 * server that still reads has to ignore (RFC 9112, section 2.2). [onResult] is not called if the channel is closed
 * meanwhile.
 */
internal fun Channel.checkReset(
    delay: Duration = 20.milliseconds,
    onResult: (isReset: Boolean) -> Unit,
) {
    val write = {
        if (isActive) {
            val emptyLine = Unpooled.wrappedBuffer(byteArrayOf('\r'.code.toByte(), '\n'.code.toByte()))
            // The first context is behind the encoder, which takes whole requests only.
            pipeline().firstContext().writeAndFlush(emptyLine).addListener(
                ChannelFutureListener { onResult(!it.isSuccess) },
            )
        }
    }
    eventLoop().schedule(write, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
}
