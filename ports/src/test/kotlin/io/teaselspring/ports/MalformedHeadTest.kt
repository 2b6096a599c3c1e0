/*
 * Guards against a response of the platform whose head is not one of HTTP and that counts as a row, an accepted write
 * or a write that was not applied: a status that is not three digits from 100 to 599, or a blank or control character
 * in the name of a field.
 */
package io.teaselspring.ports

import arrow.core.Either
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

private const val BODY = """{"versions": [7], "failed": 0, "rows": [], "more": false, "instances": []}"""

private val statuses =
    listOf("000", "000 Zero", "099 Low", "20 OK", "2000 OK", "600 High", "999 High", "+200 OK", "-200 OK") +
        listOf("2e2 OK", "200OK", "", "2000", "20", "200 O\u0001K")

/** Statuses that the client library takes for others: it drops leading zeros, and the number overflows. */
private val misreadStatuses =
    listOf("0200 OK", "0503 Full", "0429 Full", "0412 Other", "0404 Gone", "0304 Same", "4294967496 OK")

private val fields =
    listOf("X-Tra : v", "X-Tra\t: v", " X-Tra: v", "\tX-Tra: v", "X Tra: v", "X\u0001Tra: v", "X\u0000Tra: v", ": v") +
        listOf("X-T(ra: v", "X-Tra")

private val isKnownRedRun = System.getProperty("known.red") == "true"

private val order = ScaleOrder("dc", "u", epoch = 1, number = 1, count = 1, holder = "h")
private val usage = UsageReport("0", epoch = 1, holder = "h", JsonObject(emptyMap()))

private val writes: Map<String, suspend (Platform) -> Either<PlatformError, Any?>> =
    mapOf(
        "table-put" to { it.table.put("t", "k", JsonPrimitive(1), 3) },
        "table-transaction" to { it.table.transaction(listOf(TableWrite("t", "k", 1, JsonPrimitive(1)))) },
        "object-put" to { it.objects.put("k", ByteArray(1)) },
        "order" to { it.orders.send(order) },
        "usage-report" to { it.usage.report(usage) },
    )
private val reads: Map<String, suspend (Platform) -> Either<PlatformError, Any?>> =
    mapOf(
        "table-get" to { it.table.get("t", "k") },
        "table-scan" to { it.table.scan("t", "", null, 10) },
        "object-get" to { it.objects.get("k") },
        "instances" to { it.instances.instances() },
    )

private fun response(
    status: String,
    field: String,
) = "HTTP/1.1 $status\r\nContent-Type: application/json\r\nETag: \"7\"\r\n${field}Content-Length: ${BODY.length}\r\n" +
    "Connection: close\r\n\r\n$BODY"

/** Runs [use] with a platform that answers each request with [response]. */
private suspend fun withPlatformWriting(
    response: String,
    use: suspend (Platform) -> Unit,
) = ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { listener ->
    thread(isDaemon = true) {
        while (!listener.isClosed) {
            runCatching {
                listener.accept().use {
                    it.getInputStream().read(ByteArray(4096))
                    it.getOutputStream().write(response.toByteArray(Charsets.ISO_8859_1))
                }
            }
        }
    }
    val url = "http://127.0.0.1:${listener.localPort}"
    httpPlatform(HttpPlatformSettings(url, requestTimeout = 5.seconds, readAttempts = 1)).use { use(it.platform) }
}

private suspend fun shouldBeUnknown(response: String) =
    withPlatformWriting(response) { platform ->
        reads.forEach { (name, read) ->
            withClue(name) { read(platform).leftOrNull().shouldBeInstanceOf<PlatformError.Unavailable>() }
        }
        writes.forEach { (name, write) ->
            withClue(name) { write(platform).leftOrNull().shouldBeInstanceOf<PlatformError.Ambiguous>() }
        }
    }

class MalformedHeadTest :
    FunSpec({
        statuses.forEach { status ->
            test("a response with the status \"$status\" tells nothing") { shouldBeUnknown(response(status, "")) }
        }

        // KNOWN-RED.txt: run with -Dknown.red=true.
        misreadStatuses.forEach { status ->
            test("a response with the status \"$status\" tells nothing").config(enabledIf = { isKnownRedRun }) {
                shouldBeUnknown(response(status, ""))
            }
        }

        fields.forEach { field ->
            test("a response with the field line \"$field\" tells nothing") {
                shouldBeUnknown(response("200 OK", "$field\r\n"))
            }
        }

        test("a refusal with a malformed field line does not show that a write was not applied") {
            shouldBeUnknown(response("503 Service Unavailable", "Retry-After : 1\r\n"))
        }
    })
