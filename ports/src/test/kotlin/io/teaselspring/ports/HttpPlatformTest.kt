package io.teaselspring.ports

import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.serialization.json.JsonPrimitive
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_SENT_BYTES = 40L * 1024 * 1024
private const val CHUNK_BYTES = 0x10000
private const val NESTING = 100_000

private val shortBackoff = Backoff(1.milliseconds, 2.milliseconds)

/** Runs [use] against a server that sends [response] for every path, and returns the recorded requests. */
private suspend fun withServer(
    response: suspend RoutingContext.() -> Unit,
    use: suspend (Platform) -> Unit,
): List<String> {
    val requests = mutableListOf<String>()
    val record: suspend RoutingContext.() -> Unit = {
        val condition = call.request.headers["If-Match"] ?: call.request.headers["If-None-Match"] ?: ""
        requests += "${call.request.uri} $condition ${call.receiveText()}".trim()
        response()
    }
    val server =
        embeddedServer(CIO, port = 0, host = "127.0.0.1") {
            routing {
                get("{...}", record)
                put("{...}", record)
                post("{...}", record)
            }
        }.start()
    val port =
        server.engine
            .resolvedConnectors()
            .first()
            .port
    val settings = HttpPlatformSettings("http://127.0.0.1:$port", backoff = shortBackoff)
    httpPlatform(settings).use { use(it.platform) }
    server.stop(0, 0)
    return requests
}

/** Runs [use] against a server that reads each request and closes the connection without a response. */
private suspend fun withServerLosingResponses(use: suspend (Platform) -> Unit): Int {
    var connections = 0
    ServerSocket(0).use { socket ->
        thread(isDaemon = true) {
            while (!socket.isClosed) {
                runCatching {
                    socket.accept().use {
                        connections += 1
                        it.getInputStream().read(ByteArray(4096))
                    }
                }
            }
        }
        val settings = HttpPlatformSettings("http://127.0.0.1:${socket.localPort}", backoff = shortBackoff)
        httpPlatform(settings).use { use(it.platform) }
    }
    return connections
}

/** Runs [use] against a server that sends a body without end, and returns how many bytes it could send. */
private suspend fun withServerSendingWithoutEnd(use: suspend (Platform) -> Unit): Long {
    val sentBytes = AtomicLong()
    ServerSocket(0).use { socket ->
        thread(isDaemon = true) {
            while (!socket.isClosed) {
                runCatching {
                    socket.accept().use {
                        it.getInputStream().read(ByteArray(4096))
                        val output = it.getOutputStream()
                        output.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".toByteArray())
                        val chunk = "10000\r\n${"a".repeat(CHUNK_BYTES)}\r\n".toByteArray()
                        while (true) {
                            output.write(chunk)
                            if (sentBytes.addAndGet(chunk.size.toLong()) > MAX_SENT_BYTES) Thread.sleep(1)
                        }
                    }
                }
            }
        }
        val settings = HttpPlatformSettings("http://127.0.0.1:${socket.localPort}", readAttempts = 1)
        httpPlatform(settings).use { use(it.platform) }
    }
    return sentBytes.get()
}

// Guards against a lost response that counts as "not applied", and against a write that is sent twice.
class HttpPlatformTest :
    FunSpec({
        test("conditional headers, versions and escaped keys have the form that docs/platform-api.md specifies") {
            val requests =
                withServer({
                    call.response.header("ETag", "\"7\"")
                    call.respondText("{\"a\": 1}", ContentType.Application.Json)
                }) { platform ->
                    platform.table
                        .get("t", "config/head")
                        .getOrNull()
                        ?.version shouldBe 7
                    platform.table.put("t", "a b", JsonPrimitive(1), 3) shouldBe 7L.right()
                    platform.table.put("t", "x", JsonPrimitive(1), ABSENT) shouldBe 7L.right()
                }
            requests shouldBe listOf("/tables/t/config%2Fhead", "/tables/t/a%20b \"3\" 1", "/tables/t/x * 1")
        }

        test("a failed condition is a conflict with the index of the failed write") {
            withServer({ call.respondText("{\"failed\": 1}", status = HttpStatusCode.Conflict) }) { platform ->
                val writes = List(2) { TableWrite("t", "k$it", 1, JsonPrimitive(1)) }
                val error = platform.table.transaction(writes).leftOrNull()
                error.shouldBeInstanceOf<PlatformError.Conflict>().failedIndex shouldBe 1
            }
        }

        // Without a limit the body takes all memory until the timeout of the call.
        test("a response body without end is given up early") {
            val sentBytes =
                withServerSendingWithoutEnd { platform ->
                    platform.objects
                        .get("k")
                        .leftOrNull()
                        .shouldBeInstanceOf<PlatformError.Unavailable>()
                }
            sentBytes shouldBeLessThan MAX_SENT_BYTES
        }

        // Arrow passes the error of a parser that is out of stack on as fatal, which ends the process.
        test("a response that is nested too deeply is an error of the call") {
            withServer({ call.respondText("[".repeat(NESTING)) }) { platform ->
                platform.table
                    .get("t", "k")
                    .leftOrNull()
                    .shouldBeInstanceOf<PlatformError.Unavailable>()
                platform.table
                    .scan("t", "", null, 10)
                    .leftOrNull()
                    .shouldBeInstanceOf<PlatformError.Unavailable>()
            }
        }

        test("a write is unavailable after status 503, and ambiguous and sent once after status 500") {
            withServer({ call.respondText("", status = HttpStatusCode.ServiceUnavailable) }) { platform ->
                platform.objects
                    .put("k", ByteArray(1))
                    .leftOrNull()
                    .shouldBeInstanceOf<PlatformError.Unavailable>()
            }
            withServer({ call.respondText("", status = HttpStatusCode.InternalServerError) }) { platform ->
                platform.objects
                    .put("k", ByteArray(1))
                    .leftOrNull()
                    .shouldBeInstanceOf<PlatformError.Ambiguous>()
            }.size shouldBe 1
        }

        test("a write whose connection closes without a response is ambiguous and sent once") {
            withServerLosingResponses { platform ->
                platform.table
                    .put("t", "k", JsonPrimitive(1), 1)
                    .leftOrNull()
                    .shouldBeInstanceOf<PlatformError.Ambiguous>()
            } shouldBe 1
        }

        test("a read whose connection closes is retried and then unavailable") {
            withServerLosingResponses { platform ->
                platform.table
                    .get("t", "k")
                    .leftOrNull()
                    .shouldBeInstanceOf<PlatformError.Unavailable>()
            } shouldBe 3
        }

        test("a write that cannot connect is unavailable") {
            val port = ServerSocket(0).use { it.localPort }
            httpPlatform(HttpPlatformSettings("http://127.0.0.1:$port", backoff = shortBackoff)).use {
                it.platform.table
                    .put("t", "k", JsonPrimitive(1), 1)
                    .leftOrNull()
                    .shouldBeInstanceOf<PlatformError.Unavailable>()
            }
        }

        test("an ambiguous write is resolved by a read-back, also after its own retry conflicts") {
            val lost = PlatformError.Ambiguous("s", "p", "lost").left()
            val conflict = PlatformError.Conflict("s", "p", "c").left()
            resolvingAmbiguousWrite(readBack = { 5.right() }, write = { lost }) shouldBe 5.right()
            val writeResults = mutableListOf(lost, conflict)
            val readResults = mutableListOf(null, 6)
            resolvingAmbiguousWrite(
                readBack = { readResults.removeFirst().right() },
                write = { writeResults.removeFirst() },
            ) shouldBe 6.right()
            resolvingAmbiguousWrite<Int>(readBack = { null.right() }, write = { lost }) shouldBe lost
            writeResults.shouldBeEmpty()
        }
    })
