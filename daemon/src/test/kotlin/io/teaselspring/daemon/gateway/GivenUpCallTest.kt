/*
 * Guards against a call that is delivered after it was given up: a usage report or an order that a cut link holds back
 * would reach its receiver after those of the next holder of the lease.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import kotlinx.coroutines.yield
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/** How a connection ended for its server. */
private enum class ConnectionEnd { CLOSED, RESET }

private fun InputStream.readToEnd(onByte: () -> Unit = {}): ConnectionEnd =
    try {
        while (read() >= 0) onByte()
        ConnectionEnd.CLOSED
    } catch (_: SocketException) {
        ConnectionEnd.RESET
    }

private fun InputStream.countBytes(): Int {
    var count = 0
    readToEnd { count += 1 }
    return count
}

private fun InputStream.readRequest() {
    val request = StringBuilder()
    while (!request.endsWith("\r\n\r\n")) request.append(read().toChar())
}

/** Reads the request from [socket] and answers it. */
private fun answer(socket: Socket) {
    socket.getInputStream().readRequest()
    socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".toByteArray())
}

class GivenUpCallTest :
    FunSpec({
        lateinit var server: ServerSocket
        val runtime = GatewayRuntime()

        suspend fun call(path: String) =
            withContext(runtime.dispatcher) {
                runtime.calls.call("127.0.0.1:${server.localPort}", "GET", path, 200.milliseconds)
            }

        beforeTest { server = ServerSocket(0, 0, InetAddress.getLoopbackAddress()) }
        afterTest { server.close() }

        // The kernel discards unsent bytes of a connection that is reset, and sends those of one that is closed.
        test("a call that is given up resets its connection") {
            coroutineScope {
                val end = async(Dispatchers.IO) { server.accept().use { it.getInputStream().readToEnd() } }
                call("/usage").isLeft() shouldBe true
                end.await() shouldBe ConnectionEnd.RESET
            }
        }

        test("a call that is given up on a reused connection resets it") {
            coroutineScope {
                val end =
                    async(Dispatchers.IO) {
                        server.accept().use {
                            answer(it)
                            it.getInputStream().readToEnd()
                        }
                    }
                call("/first").isRight() shouldBe true
                call("/usage").isLeft() shouldBe true
                end.await() shouldBe ConnectionEnd.RESET
            }
        }

        // After a pause the event loop sees an open connection before it sees that the call has timed out.
        test("a call is not sent after a pause in which its time limit or the sender's lease has ended") {
            val pause = 300.milliseconds
            for ((limit, lease) in listOf(pause / 2 to 1.minutes, 1.minutes to pause / 2)) {
                coroutineScope {
                    val received = async(Dispatchers.IO) { server.accept().use { it.getInputStream().countBytes() } }
                    val start = TimeSource.Monotonic.markNow()
                    val address = "127.0.0.1:${server.localPort}"
                    val result =
                        withContext(runtime.dispatcher) {
                            val call =
                                async(start = CoroutineStart.UNDISPATCHED) {
                                    runtime.calls.call(address, "POST", "/usage", limit) { start.elapsedNow() < lease }
                                }
                            // Lets the event loop begin to connect.
                            yield()
                            Thread.sleep(pause.inWholeMilliseconds)
                            call.await()
                        }
                    withClue("limit $limit, lease $lease: $result") { received.await() shouldBe 0 }
                }
            }
        }

        // A process that ends without closing its connections leaves the rest to the kernel.
        test("a connection that the process leaves open at its end is reset") {
            val program =
                ProcessBuilder(
                    "${System.getProperty("java.home")}/bin/java",
                    "-cp",
                    System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path"),
                    "io.teaselspring.daemon.gateway.AbandonedCallKt",
                    "127.0.0.1:${server.localPort}",
                ).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start()
            val end =
                server.accept().use {
                    it.getInputStream().readRequest()
                    program.outputStream.close()
                    it.getInputStream().readToEnd()
                }
            program.waitFor() shouldBe ABANDONED_CALL_EXIT
            end shouldBe ConnectionEnd.RESET
        }
    })
