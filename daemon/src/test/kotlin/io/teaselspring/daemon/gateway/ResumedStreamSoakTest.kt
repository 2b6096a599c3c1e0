/*
 * Guards against events that are missing, doubled or out of order in the stream that a caller gets over several
 * attempts, while instances break off anywhere, begin resumed streams anew, and write late copies of earlier responses.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.net.Socket
import kotlin.random.Random

private const val EVENTS = 20
private const val ENTRIES = 2
private const val INSTANCES = 4
private const val STREAMS_PER_SEED = 60
private const val MAX_ATTEMPTS = 60
private const val MAX_SILENCE_MS = 10_000
private const val LAST_CHUNK = "0\r\n\r\n"
private val seeds = 1..(System.getProperty("resumed.seeds")?.toInt() ?: 3)
private val lineEnds = listOf("\n", "\r\n", "\r")

/** The stream with the name [stream]: ids increase by random steps, and events have all forms of fields. */
private class NumberedStream(
    val stream: String,
) {
    private val random = Random(stream.hashCode())
    private val lineEnd = lineEnds.random(random)
    private val ids = List(EVENTS) { random.nextInt(1, 50) }.runningReduce(Int::plus)
    private val events = ids.mapIndexed(::event)

    private fun event(
        index: Int,
        id: Int,
    ): String {
        val space = if (random.nextBoolean()) " " else ""
        val lines = mutableListOf("id:$space$id", "data:$space$stream-$index", "data: id: 1")
        if (random.nextBoolean()) lines.reverse()
        if (random.nextInt(4) == 0) lines.add(0, "x-weight-version: 3")
        if (random.nextInt(4) == 0) lines.add(random.nextInt(lines.size + 1), ": id: 1")
        val comment = if (random.nextInt(4) == 0) ": data: none$lineEnd$lineEnd" else ""
        return lines.joinToString(lineEnd, postfix = lineEnd + lineEnd) + comment
    }

    /** The events after the one with the id [after]. */
    fun after(after: Int) = events.filterIndexed { index, _ -> ids[index] > after }.joinToString("")

    val data = List(EVENTS) { "$stream-$it" }
}

/** An instance that serves [NumberedStream]s by the path, and is at fault in a part of its responses by [random]. */
private class FaultyInstance(
    private val random: Random,
) {
    val upstream = ScriptedUpstream(::serve)

    /** The last response on each connection. */
    private val earlier = java.util.concurrent.ConcurrentHashMap<OutputStream, ByteArray>()

    private fun serve(
        request: ReceivedRequest,
        output: OutputStream,
    ): ConnectionAction {
        val stream = NumberedStream(request.header("X-Stream").orEmpty())
        val position = request.header("Last-Event-Id")?.toInt() ?: 0
        val fault = random.nextInt(10)
        val text = stream.after(if (fault == 0) 0 else position)
        val response = ByteArrayOutputStream()
        response.streamHead(request)
        chunks(text).forEach(response::chunk)
        response.lastChunk()
        val bytes = response.toByteArray()
        if (fault == 1) earlier[output]?.let(output::write)
        earlier[output] = bytes
        val length = if (fault in 2..6) random.nextInt(bytes.size) else bytes.size
        writeInPieces(output, bytes.copyOf(length))
        if (fault == 7) output.write(bytes, bytes.size / 2, bytes.size - bytes.size / 2)
        output.flush()
        if (fault == 8) Thread.sleep(random.nextLong(20))
        return when {
            length == bytes.size -> ConnectionAction.KEEP
            random.nextBoolean() -> ConnectionAction.CLOSE
            else -> ConnectionAction.RESET.also { Thread.sleep(random.nextLong(20)) }
        }
    }

    private fun chunks(text: String): List<String> {
        var rest = text
        return generateSequence {
            rest.take(random.nextInt(1, 80)).takeIf { it.isNotEmpty() }?.also { rest = rest.drop(it.length) }
        }.toList()
    }

    private fun writeInPieces(
        output: OutputStream,
        bytes: ByteArray,
    ) {
        var start = 0
        while (start < bytes.size) {
            val end = minOf(bytes.size, start + random.nextInt(1, 400))
            output.write(bytes, start, end - start)
            output.flush()
            start = end
            if (random.nextInt(6) == 0) Thread.sleep(1)
        }
    }
}

/** What a caller has got of a stream, over all of its attempts. */
private class CallerStream(
    val stream: String,
    private val random: Random,
) {
    private val data = mutableListOf<String>()
    private var position: String? = null
    private var isComplete = false
    private var attempts = 0
    private var leftOpen = mutableListOf<Socket>()

    /** Attempts until the stream is complete; each goes to a random entry, some while the one before still runs. */
    fun run(entries: List<GatewaySite>): CallerStream {
        while (!isComplete && attempts < MAX_ATTEMPTS) {
            attempts += 1
            val resume = position?.let { "Last-Event-Id: $it\r\n" }.orEmpty()
            val headers = "X-Stream: $stream\r\n${resume}Connection: close\r\n"
            val site = entries.random(random)
            val socket = site.connect()
            socket.soTimeout = MAX_SILENCE_MS
            socket.getOutputStream().write(site.request(RESUMED, headers = headers, id = "$stream-$attempts"))
            add(read(socket, if (random.nextInt(4) == 0) random.nextInt(2_000) else Int.MAX_VALUE))
        }
        leftOpen.forEach { it.close() }
        return this
    }

    /** Reads at most [limit] bytes and leaves the connection open then, so that its stream goes on being written. */
    private fun read(
        socket: Socket,
        limit: Int,
    ): String {
        val bytes = socket.getInputStream().readNBytes(limit)
        if (bytes.size == limit) leftOpen += socket else socket.close()
        return bytes.decodeToString()
    }

    private fun add(response: String) {
        if (!response.startsWith("HTTP/1.1 200")) return
        val body = StringBuilder()
        var rest = response.substringAfter("\r\n\r\n", "")
        while ("\r\n" in rest) {
            val length = rest.substringBefore("\r\n").toInt(16)
            isComplete = length == 0 && rest.endsWith(LAST_CHUNK)
            if (length == 0) break
            val start = rest.indexOf("\r\n") + 2
            body.append(rest, start, minOf(rest.length, start + length))
            rest = rest.drop(start + length + 2)
        }
        // A receiver dispatches an event at its empty line and drops one without it.
        val events =
            body
                .toString()
                .replace("\r\n", "\n")
                .replace('\r', '\n')
                .split("\n\n")
                .dropLast(1)
        events.forEach { event ->
            val lines = event.lines()
            lines.lastOrNull { it.startsWith("id:") }?.let { position = it.removePrefix("id:").trim() }
            lines.firstOrNull { "$stream-" in it }?.let { data += it.removePrefix("data:").trim() }
        }
    }

    fun check() =
        withClue("$stream after $attempts attempts") {
            data shouldBe NumberedStream(stream).data
            isComplete shouldBe true
        }

    /** Attempts after the first one. */
    val resumptions: Int get() = attempts - 1
}

class ResumedStreamSoakTest :
    FunSpec({
        seeds.forEach { seed ->
            test("a caller gets each event of a stream once and in order over its attempts, seed $seed") {
                val instances = List(INSTANCES) { FaultyInstance(Random(seed * 100 + it)) }
                withGateways(ENTRIES, *instances.map { it.upstream }.toTypedArray()) { entries ->
                    val streams =
                        coroutineScope {
                            List(STREAMS_PER_SEED) { number ->
                                async(Dispatchers.IO) {
                                    CallerStream("s$seed-$number", Random(seed * 1_000 + number)).run(entries)
                                }
                            }.awaitAll()
                        }
                    streams.forEach { it.check() }
                    streams.sumOf { it.resumptions } shouldBeGreaterThan 0
                }
            }
        }
    })
