/*
 * Observes whether a socket has taken any byte of a request. A request that fails before that cannot have run.
 */
package io.teaselspring.daemon.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelProgressiveFuture
import io.netty.channel.ChannelProgressiveFutureListener
import io.netty.channel.ChannelPromise
import io.netty.util.concurrent.PromiseNotifier

/** Must be the outbound handler next to the socket. */
internal class WriteProgress : ChannelOutboundHandlerAdapter() {
    /** Whether the socket has taken a byte since this was last set to false. */
    var hasWritten = false

    override fun write(
        ctx: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        val progressive = ctx.newProgressivePromise()
        progressive.addListener(
            object : ChannelProgressiveFutureListener {
                override fun operationProgressed(
                    future: ChannelProgressiveFuture,
                    progress: Long,
                    total: Long,
                ) {
                    if (progress > 0) hasWritten = true
                }

                override fun operationComplete(future: ChannelProgressiveFuture) {
                    if (future.isSuccess) hasWritten = true
                }
            },
        )
        PromiseNotifier.cascade(progressive, promise)
        ctx.write(message, progressive)
    }
}
