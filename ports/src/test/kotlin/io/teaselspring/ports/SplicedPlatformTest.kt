/*
 * Guards against a response of the platform that is joined from two, taken for a row, a version or an accepted write:
 * the platform breaks off what it writes at any byte and goes on with another response. The number of splices of each
 * call and the seed are the system properties `splice.count` and `splice.seed`.
 */
package io.teaselspring.ports

import arrow.core.Either
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import kotlinx.serialization.json.JsonPrimitive
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private data class PlatformResponseText(
    val status: String,
    val version: Int,
    val isChunked: Boolean,
) {
    fun bytes(): ByteArray {
        val body = "{\"versions\": [$version], \"failed\": 0, \"rows\": [], \"more\": false, \"value\": $version}"
        val head = "HTTP/1.1 $status\r\nContent-Type: application/json\r\nETag: \"$version\"\r\n"
        val size = body.length.toString(16)
        val framed = "Transfer-Encoding: chunked\r\n\r\n$size\r\n$body\r\n0\r\n\r\n"
        return (head + if (isChunked) framed else "Content-Length: ${body.length}\r\n\r\n$body").toByteArray()
    }
}

private val statuses =
    listOf("200 OK", "201 Created", "404 Not Found", "409 Conflict", "412 Precondition Failed", "500 Oops", NOT_APPLIED)

private const val NOT_APPLIED = "503 Service Unavailable"

private fun Random.response(version: Int) = PlatformResponseText(statuses.random(this), version, nextBoolean())

private val order = ScaleOrder("dc", "u", epoch = 1, number = 1, count = 1, holder = "h")

private val writes: Map<String, suspend (Platform) -> Either<PlatformError, Any?>> =
    mapOf(
        "table-put" to { it.table.put("t", "k", JsonPrimitive(1), 3) },
        "table-transaction" to { it.table.transaction(listOf(TableWrite("t", "k", 1, JsonPrimitive(1)))) },
        "object-put" to { it.objects.put("k", ByteArray(1)) },
        "order" to { it.orders.send(order) },
    )
private val reads: Map<String, suspend (Platform) -> Either<PlatformError, Any?>> =
    mapOf(
        "table-get" to { it.table.get("t", "k") },
        "table-scan" to { it.table.scan("t", "", null, 10) },
        "object-get" to { platform -> platform.objects.get("k").map { it?.decodeToString() } },
    )

class SplicedPlatformTest :
    FunSpec({
        val count = System.getProperty("splice.count")?.toInt() ?: 300
        val seed = System.getProperty("splice.seed")?.toInt() ?: 1

        (writes + reads).forEach { (name, call) ->
            test("a response that is broken off and followed by another one is not completed by it: $name") {
                val random = Random(seed)
                val problems = mutableListOf<String>()
                var parts = emptyList<ByteArray>()
                ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { listener ->
                    thread(isDaemon = true) { while (!listener.isClosed) runCatching { listener.answer { parts } } }
                    val url = "http://127.0.0.1:${listener.localPort}"
                    val settings = HttpPlatformSettings(url, requestTimeout = 300.milliseconds, readAttempts = 1)
                    httpPlatform(settings).use { http ->
                        repeat(count) {
                            val before = random.response(7)
                            val after = random.response(8)
                            val cut = random.nextInt(1, before.bytes().size)
                            parts = listOf(before.bytes())
                            val whole = call(http.platform)
                            parts = listOf(before.bytes().copyOf(cut), after.bytes())
                            val result = call(http.platform)
                            val error = result.leftOrNull()
                            // Another response shows that what the first one refused may have been applied.
                            val isSure = name in reads || error == null || before.status == after.status
                            val isHonest = error.isUnknown(name in writes) || result == whole && isSure
                            if (!isHonest) problems += "$result: $cut of $before, $after"
                        }
                    }
                }
                withClue("${problems.size} of $count") { problems.shouldBeEmpty() }
            }
        }
    })

private fun PlatformError?.isUnknown(isWrite: Boolean) =
    if (isWrite) this is PlatformError.Ambiguous else this is PlatformError.Unavailable

/** Answers one request with [parts], one after the other. */
private fun ServerSocket.answer(parts: () -> List<ByteArray>) =
    accept().use { socket ->
        socket.getInputStream().read(ByteArray(4096))
        parts().forEach {
            socket.getOutputStream().write(it)
            socket.getOutputStream().flush()
            Thread.sleep(1)
        }
    }
