/*
 * Guards against a planned stop that cuts off requests which have just been accepted, on kept connections under load.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.io.BufferedReader
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val CALLERS = 24

private class Head(
    val status: String,
    val closes: Boolean,
)

/** Reads one response with a length, or returns null if the connection ends before it is whole. */
private fun BufferedReader.readResponse(): Head? {
    val lines = generateSequence { readLine()?.takeIf { it.isNotEmpty() } }.toList()
    val length = lines.firstOrNull { it.startsWith("content-length:", ignoreCase = true) } ?: return null
    repeat(length.substringAfter(':').trim().toInt()) { if (read() < 0) return null }
    return Head(lines.first(), lines.any { it.equals("connection: close", ignoreCase = true) })
}

class StopUnderLoadTest :
    FunSpec({
        test("each request that was sent on an open connection before or during a stop gets a whole response") {
            val answered = AtomicInteger()
            val cut = ConcurrentLinkedQueue<String>()
            val engine =
                ScriptedUpstream { request, output ->
                    Thread.sleep(5)
                    output.respond(request, "whole")
                    ConnectionAction.KEEP
                }
            withGateway(engine, stopLimit = 8.seconds) {
                coroutineScope {
                    val callers =
                        List(CALLERS) { caller ->
                            async {
                                // A caller sends on the same connection until the entry tells it to close that.
                                try {
                                    connect().use { socket -> sendUntilClosed(socket, caller, answered, cut) }
                                } catch (e: IOException) {
                                    cut += "caller $caller: $e"
                                }
                            }
                        }
                    delay(300.milliseconds)
                    val drain = async { drain() }
                    callers.awaitAll()
                    drain.await()
                }
            }
            withClue("answered ${answered.get()}") { cut.shouldBeEmpty() }
            answered.get() shouldBeGreaterThan CALLERS
        }
    })

private fun GatewaySite.sendUntilClosed(
    socket: Socket,
    caller: Int,
    answered: AtomicInteger,
    cut: MutableCollection<String>,
) {
    val input = socket.getInputStream().bufferedReader()
    var number = 0
    while (true) {
        number += 1
        // Every third request is sent in two pieces, so that the stop finds bodies that are half read.
        val bytes = request(ORDER, body = "order $caller $number")
        val split = if (number % 3 == 0) bytes.size - 4 else bytes.size
        socket.getOutputStream().write(bytes, 0, split)
        if (split < bytes.size) {
            Thread.sleep(10)
            socket.getOutputStream().write(bytes, split, bytes.size - split)
        }
        val response = input.readResponse()
        if (response == null) {
            cut += "caller $caller, request $number"
            return
        }
        answered.incrementAndGet()
        if (response.closes) return
    }
}
