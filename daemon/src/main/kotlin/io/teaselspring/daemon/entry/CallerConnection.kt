/*
 * The connection below a caller's request, which Ktor's Netty engine shows only through the engine's own call.
 */
package io.teaselspring.daemon.entry

import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationCall
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

private val ApplicationCall.connection: Channel
    get() = (this as NettyApplicationCall).context.channel()

/** Closes the connection, after what has been written to it so far. */
internal fun ApplicationCall.closeConnection() {
    connection.close()
}

/** Runs [block], and cancels it when the caller closes the connection, also if that was before this call. */
internal suspend fun ApplicationCall.whileConnected(block: suspend () -> Unit): Unit =
    coroutineScope {
        val running = launch { block() }
        val onClose = ChannelFutureListener { running.cancel() }
        connection.closeFuture().addListener(onClose)
        // A connection serves many calls; listeners of past ones would pile up.
        running.invokeOnCompletion { connection.closeFuture().removeListener(onClose) }
    }
