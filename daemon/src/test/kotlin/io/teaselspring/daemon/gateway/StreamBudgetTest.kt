/*
 * Guards against an entry that keeps more than its memory allows of streams whose callers read slowly, or that keeps
 * others from being served for it.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.teaselspring.daemon.eventually
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

private const val LIMIT_BYTES = 1024L * 1024
private const val RESERVE_BYTES = LIMIT_BYTES / 2
private const val STREAMS = 60
private const val RECEIVE_BUFFER_BYTES = 64 * 1024
private const val CONNECTIONS = 12
private const val BODY_BYTES = 1024 * 1024
private const val HEAD_BYTES = 40
private const val READ_BYTES = 8 * 1024 * 1024

private class EndlessStream(
    val name: String,
    val prefix: String,
    val piece: String,
)

private val endlessStreams =
    listOf(
        EndlessStream("forwarded as it arrives", STREAM, "data: ${"a".repeat(4_000)}\n\n"),
        EndlessStream("of whole events", RESUMED, "data: ${"a".repeat(4_000)}\n\n"),
        EndlessStream("of one event", RESUMED, "a".repeat(4_000)),
    )

/** Sends [piece] without end, except to small requests. */
private fun endlessEngine(piece: String) =
    ScriptedUpstream { request, output ->
        if (request.body == SMALL) {
            output.respond(request, "done")
        } else {
            output.streamHead(request, "Content-Type: text/event-stream\r\n")
            while (true) output.chunk(piece)
        }
        ConnectionAction.KEEP
    }

private const val SMALL = "small"

/** Keeps all requests but small ones until [release]. */
private fun holdingEngine(release: CountDownLatch) =
    ScriptedUpstream { request, output ->
        if (request.body != SMALL) release.await()
        output.respond(request, "done")
        ConnectionAction.KEEP
    }

/** A site whose configuration is confirmed often enough to be ready all the time. */
private fun busySite(
    engine: ScriptedUpstream,
    memory: ByteBudget,
) = GatewaySite(
    listOf(engine),
    timeoutMs = 60_000,
    times = GatewayTimes(usageWindow = 1.hours, stopLimit = 5.hours, configWait = 500.milliseconds),
    memory = memory,
)

/** The other organisation's small requests are answered, and the entry stays ready within its memory. */
private suspend fun GatewaySite.shouldServeOthers(
    memory: ByteBudget,
    calls: Int,
    maxBytes: Long = LIMIT_BYTES + RESERVE_BYTES,
) = repeat(calls) {
    call(PLAIN, key = URGENT_KEY, body = SMALL) shouldContain "done"
    isReady() shouldBe true
    memory.usedBytes shouldBeLessThanOrEqual maxBytes
    delay(50.milliseconds)
}

private fun GatewaySite.openStream(
    prefix: String,
    key: String = SITE_KEY,
): Socket = connect(RECEIVE_BUFFER_BYTES).apply { getOutputStream().write(request(prefix, key)) }

class StreamBudgetTest :
    FunSpec({
        endlessStreams.forEach { endless ->
            test("streams without end and callers that do not read stay within the memory: ${endless.name}") {
                val memory = ByteBudget(LIMIT_BYTES, RESERVE_BYTES)
                withSite(busySite(endlessEngine(endless.piece), memory)) {
                    val callers = List(STREAMS) { openStream(endless.prefix) }
                    shouldServeOthers(memory, calls = 40)
                    if (endless.name != "of one event") memory.usedBytes shouldBeGreaterThan LIMIT_BYTES / 2
                    coroutineScope {
                        // Streams go on as their callers read, or have been cut visibly.
                        val read = callers.map { async { it.use { it.getInputStream().readNBytes(READ_BYTES).size } } }
                        shouldServeOthers(memory, calls = 20)
                        val bytes = read.awaitAll()
                        if (endless.name != "of one event") bytes.toSet() shouldBe setOf(READ_BYTES)
                    }
                    withClue("bytes kept after the end") { eventually { memory.usedBytes shouldBe 0 } }
                }
            }
        }

        test("requests that wait behind running ones on their connections stay within the memory") {
            val release = CountDownLatch(1)
            val memory = ByteBudget(2 * LIMIT_BYTES, LIMIT_BYTES)
            withSite(busySite(holdingEngine(release), memory)) {
                val callers = List(CONNECTIONS) { connect() }
                coroutineScope {
                    callers.forEach { caller ->
                        launch {
                            // The entry stops reading, and closes connections whose requests it has refused.
                            runCatching {
                                caller.getOutputStream().write(request(PLAIN, body = "held"))
                                caller.getOutputStream().write(request(PLAIN, body = "b".repeat(BODY_BYTES), id = "r2"))
                            }
                        }
                    }
                    eventually { memory.usedBytes shouldBeGreaterThan LIMIT_BYTES }
                    shouldServeOthers(memory, calls = 20, maxBytes = 3 * LIMIT_BYTES)
                    release.countDown()
                    callers.forEach { caller ->
                        launch { caller.use { it.getInputStream().readNBytes(HEAD_BYTES).size shouldBe HEAD_BYTES } }
                    }
                }
                eventually { memory.usedBytes shouldBe 0 }
            }
        }
    })
