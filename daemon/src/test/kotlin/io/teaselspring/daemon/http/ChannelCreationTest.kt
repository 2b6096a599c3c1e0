/*
 * Guards against the next attempt of a request running beside the event loop when no socket can be created for an
 * attempt, because the process has used up its descriptors: Netty reports that on a thread of its own.
 */
package io.teaselspring.daemon.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelException
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.TimeUnit

private const val REASON = "Failed to open a socket."

/** Completes with whether the failure was reported on [loop], and the reason. */
private class FailureListener(
    private val loop: EventLoop,
) : ExchangeListener {
    val failure = CompletableDeferred<Pair<Boolean, String>>()

    override fun notSent(reason: String) {
        failure.complete(loop.inEventLoop() to reason)
    }

    override fun head(response: HttpResponse) = Unit

    override fun body(piece: ByteBuf) = Unit

    override fun end() = Unit

    override fun broken(reason: String) = Unit
}

private suspend fun failureOf(process: ExpectedProcess?): Pair<Boolean, String> {
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    try {
        val loop = group.next() as EventLoop
        val connections = HttpConnections(loop, nowMs = { 0 }, newChannel = { throw ChannelException(REASON) })
        val request = OutgoingRequest(HttpMethod.GET, "/x", DefaultHttpHeaders(), process = process)
        val listener = FailureListener(loop)
        loop.execute { connections.server("127.0.0.1:9").send(request, listener) }
        return listener.failure.await()
    } finally {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }
}

class ChannelCreationTest :
    FunSpec({
        test("a socket that cannot be created is reported on the event loop") {
            failureOf(process = null) shouldBe (true to REASON)
        }

        test("a socket that cannot be created to ask for a process is reported on the event loop") {
            failureOf(ExpectedProcess(1, ProcessQuery("/process") { 1 })) shouldBe (true to REASON)
        }
    })
