/*
 * Guards against "outcome unknown" for a request of which the upstream cannot have a byte, because its process ends
 * while the connection opens, and against "not run" for one of which it may have some.
 */
package io.teaselspring.daemon.agent

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.teaselspring.daemon.http.ExchangeListener
import io.teaselspring.daemon.http.HttpConnections
import io.teaselspring.daemon.http.OutgoingRequest
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds

private class EndListener : ExchangeListener {
    val end = CompletableDeferred<String>()

    override fun notSent(reason: String) {
        end.complete("not sent")
    }

    override fun head(response: HttpResponse) = Unit

    override fun body(piece: ByteBuf) = Unit

    override fun end() {
        end.complete("end")
    }

    override fun broken(reason: String) {
        end.complete("broken")
    }
}

private fun upstreamSocket() = ServerSocket(0, 1, InetAddress.getLoopbackAddress())

class UnsentRequestTest :
    FunSpec({
        // The accept queue of a closed listener is reset: the client finds its connection open, and cannot write to it.
        listOf(0, 4_000_000).forEach { bodyBytes ->
            test("a request of $bodyBytes bytes whose connection is reset before its first byte is not sent") {
                val upstream = upstreamSocket()
                val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
                try {
                    val loop = group.next() as EventLoop
                    val listener = EndListener()
                    val request =
                        OutgoingRequest(
                            HttpMethod.POST,
                            "/orders",
                            DefaultHttpHeaders(),
                            Unpooled.wrappedBuffer(ByteArray(bodyBytes)),
                            maySend = {
                                upstream.close()
                                Thread.sleep(RESET_ARRIVES_MS)
                                true
                            },
                        )
                    loop.execute {
                        val connections = HttpConnections(loop, { 0 }, 5.seconds)
                        connections.server("127.0.0.1:${upstream.localPort}").send(request, listener)
                    }
                    withTimeout(10.seconds) { listener.end.await() } shouldBe "not sent"
                } finally {
                    group.shutdownGracefully()
                }
            }
        }

        test("a request that lies unread in a connection which the upstream resets may have run") {
            upstreamSocket().use { upstream ->
                withContext(Dispatchers.IO) {
                    PlainHttpClient("http://127.0.0.1:${upstream.localPort}", 5.seconds).use { client ->
                        client.send(submit()).use { exchange ->
                            val connection = upstream.accept()
                            while (connection.getInputStream().available() == 0) Thread.sleep(1)
                            connection.setSoLinger(true, 0)
                            connection.close()
                            withTimeout(10.seconds) { exchange.next() }.shouldBeInstanceOf<PlainEvent.Broken>()
                        }
                    }
                }
            }
        }
    })

/** The kernel delivers a reset over loopback at once; the margin is for a busy machine. */
private const val RESET_ARRIVES_MS = 100L
