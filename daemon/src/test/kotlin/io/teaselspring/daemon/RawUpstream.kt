/*
 * A plain service on raw sockets, for answers that no HTTP library would write.
 */
package io.teaselspring.daemon

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.runBlocking
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

private const val HEALTHY = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"

/** Answers each request but health checks with [start], waits for [gate], sends [rest] and closes the connection. */
class RawUpstream(
    private val start: String,
    private val rest: String = "",
) : AutoCloseable {
    val gate = CompletableDeferred<Unit>()

    /** The heads of the requests seen, as lines. */
    val heads = MutableStateFlow(emptyList<List<String>>())

    /** Number of connections that the client closed before the response was sent. */
    val closedEarly = MutableStateFlow(0)
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    val url = "http://127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { socket.use(::serve) } }
            }
        }
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        val output = socket.getOutputStream()
        val head = generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }.toList()
        val declared = Regex("(?i)content-length: (\\d+)")
        val length = head.firstNotNullOfOrNull { declared.matchEntire(it)?.groupValues?.get(1) }
        repeat(length?.toInt() ?: 0) { input.read() }
        if (head.first().startsWith("GET /healthz ")) return output.write(HEALTHY.toByteArray())
        heads.value += listOf(head)
        output.write(start.toByteArray())
        output.flush()
        thread(isDaemon = true) {
            // The client sends nothing more, so this ends when the connection does.
            runCatching { input.read() }
            if (!gate.isCompleted) closedEarly.value += 1
        }
        runBlocking { gate.await() }
        output.write(rest.toByteArray())
    }

    override fun close() {
        gate.complete(Unit)
        listener.close()
    }
}
