/*
 * Access to the TCP connection of a caller's request, which Ktor exposes only through the call class of its Netty
 * engine, and cancellation of a request when the caller disconnects.
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

/** Closes the connection after the data written so far. */
internal fun ApplicationCall.closeConnection() {
    connection.close()
}

/** Runs [block] and cancels it when the caller disconnects, also if the caller had disconnected before. */
internal suspend fun ApplicationCall.whileConnected(block: suspend () -> Unit): Unit =
    coroutineScope {
        val running = launch { block() }
        val onClose = ChannelFutureListener { running.cancel() }
        connection.closeFuture().addListener(onClose)
        // A keep-alive connection serves many requests; without this, their listeners would accumulate.
        running.invokeOnCompletion { connection.closeFuture().removeListener(onClose) }
    }
