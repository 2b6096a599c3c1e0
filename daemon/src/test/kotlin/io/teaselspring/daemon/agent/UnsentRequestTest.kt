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
import io.teaselspring.daemon.link.Link
import io.teaselspring.daemon.link.LinkLimits
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
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

/** Opens connections until the system takes no more of them. */
private fun ServerSocket.fillQueue(): List<Socket> =
    buildList {
        while (true) {
            val socket = Socket()
            add(socket)
            try {
                socket.connect(localSocketAddress, CONNECT_LIMIT_MS)
            } catch (_: SocketTimeoutException) {
                break
            }
        }
    }

/** Accepts connections, counts those that bring a byte in [received], and resets them. */
private fun ServerSocket.resetAll(received: AtomicInteger) {
    while (true) {
        val connection = runCatching { accept() }.getOrNull() ?: break
        thread(isDaemon = true) {
            if (runCatching { connection.getInputStream().read() }.getOrDefault(-1) >= 0) received.incrementAndGet()
            connection.setSoLinger(true, 0)
            connection.close()
        }
    }
}

private fun attempt() = Attempt(EntrySession(Link(entry(), LinkLimits())), submit())

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

        // A full accept queue delays the opening of the connection until the statement has been read.
        test("a request whose connection opens after the upstream has said that it is leaving is not sent") {
            upstreamSocket().use { upstream ->
                val url = "http://127.0.0.1:${upstream.localPort}"
                UpstreamClient(url, 10.seconds, 10.seconds, UpstreamStatements()).use { client ->
                    coroutineScope {
                        val first = async(Dispatchers.IO) { client.forward(attempt()) }
                        val connection = withContext(Dispatchers.IO) { upstream.accept() }
                        val others = withContext(Dispatchers.IO) { upstream.fillQueue() }
                        val second = async(Dispatchers.IO) { client.forward(attempt()) }
                        connection.getOutputStream().write(LEAVING_RESPONSE.toByteArray())
                        first.await() shouldBe RunResult.Complete
                        val received = AtomicInteger()
                        thread(isDaemon = true) { upstream.resetAll(received) }
                        withTimeout(20.seconds) { second.await() }.shouldBeInstanceOf<RunResult.NotSent>()
                        others.forEach { it.close() }
                        received.get() shouldBe 0
                    }
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

private const val CONNECT_LIMIT_MS = 200
private const val LEAVING_RESPONSE = "HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
