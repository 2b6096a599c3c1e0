/*
 * Guards against a response that is taken for ended while the caller still reads it: a stop or the idle timeout would
 * cut it. Also against requests that are cut without a response when the time of a stop runs out.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.core.routing.CallerLimits
import io.teaselspring.daemon.eventually
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeout
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** More than the kernel keeps of a response, and less than an entry does. */
private const val BODY_BYTES = 8_000_000
private val HEAD_BYTES = 1..1_000
private const val BYTES_A_SECOND = 1_400_000
private const val RECEIVE_BUFFER_BYTES = 64 * 1024
private const val STEP_MS = 20L

/** Reads at the pace of a slow line and returns the number of bytes until the connection ends. */
private fun Socket.readSlowly(
    bytesASecond: Int = BYTES_A_SECOND,
    slowBytes: Int = Int.MAX_VALUE,
): Int {
    val buffer = ByteArray((bytesASecond * STEP_MS / 1_000).toInt())
    var total = 0
    while (true) {
        val count = runCatching { getInputStream().readNBytes(buffer, 0, buffer.size) }.getOrDefault(0)
        total += count
        if (count < buffer.size) return total
        if (total < slowBytes) Thread.sleep(STEP_MS)
    }
}

/** Reads so slowly that the kernel reports room in its send buffer only every few seconds; then fast, for the test. */
private fun Socket.readBelowWakeUps() = readSlowly(bytesASecond = 300_000, slowBytes = 2_000_000)

private fun largeResponses() =
    ScriptedUpstream { request, output ->
        output.respond(request, "b".repeat(BODY_BYTES))
        ConnectionAction.KEEP
    }

/** A site whose process can end, as after its drain. */
private suspend fun GatewaySite.drainAndEnd() {
    drain()
    endProcess()
}

/** The bytes that a caller gets of a response while the entry stops. */
private suspend fun receivedAtStop(read: Socket.() -> Int): Int {
    val engine = largeResponses()
    var total = 0
    withGateway(engine, timeoutMs = 60_000, stopLimit = 1.minutes) {
        coroutineScope {
            connect(RECEIVE_BUFFER_BYTES).use { socket ->
                socket.getOutputStream().write(request(PLAIN))
                eventually { engine.requests.value.size shouldBe 1 }
                val received = async { socket.read() }
                drainAndEnd()
                total = received.await()
            }
        }
    }
    return total
}

private suspend fun receivedWithIdleTimeout(
    idleTimeoutMs: Long,
    read: Socket.() -> Int,
): Int {
    var total = 0
    val limits = CallerLimits(idleTimeoutMs = idleTimeoutMs)
    withSite(GatewaySite(listOf(largeResponses()), timeoutMs = 60_000, limits = limits)) {
        connect(RECEIVE_BUFFER_BYTES).use { socket ->
            socket.getOutputStream().write(request(PLAIN))
            total = socket.read()
        }
    }
    return total
}

class SlowReaderTest :
    FunSpec({
        // A response that is cut may leave its caller without an end.
        timeout = 1.minutes.inWholeMilliseconds

        test("a stop waits for a caller that is still reading its response") {
            receivedAtStop { readSlowly() } - BODY_BYTES shouldBeInRange HEAD_BYTES
        }

        // An entry that waits for the kernel's report of room takes this caller for one that has stopped reading.
        test("a stop waits for a caller that reads steadily at a fraction of the pace") {
            receivedAtStop { readBelowWakeUps() } - BODY_BYTES shouldBeInRange HEAD_BYTES
        }

        test("a stop does not wait for a caller that reads nothing of its response") {
            val engine = largeResponses()
            withGateway(engine, timeoutMs = 60_000, stopLimit = 1.hours) {
                connect().use { socket ->
                    socket.getOutputStream().write(request(PLAIN))
                    eventually { engine.requests.value.size shouldBe 1 }
                    withTimeout(1.minutes) { drain() }
                }
            }
        }

        test("the idle timeout does not close the connection of a caller that is still reading") {
            receivedWithIdleTimeout(1_000) { readSlowly() } - BODY_BYTES shouldBeInRange HEAD_BYTES
        }

        // The same report, with the idle timeout.
        test("the idle timeout spares a caller that reads steadily at a fraction of the pace") {
            receivedWithIdleTimeout(2_000) { readBelowWakeUps() } - BODY_BYTES shouldBeInRange HEAD_BYTES
        }

        test("a request that is still running when the time of a stop runs out gets a response") {
            val isRunning = CompletableDeferred<Unit>()
            val release = CountDownLatch(1)
            val engine =
                ScriptedUpstream { _, _ ->
                    isRunning.complete(Unit)
                    release.await()
                    ConnectionAction.CLOSE
                }
            withGateway(engine, timeoutMs = 60_000, stopLimit = 3.seconds) {
                coroutineScope {
                    val responses = listOf(ORDER, PLAIN).map { async { call(it) } }
                    isRunning.await()
                    eventually { engine.requests.value.size shouldBe 2 }
                    drainAndEnd()
                    responses.forEach {
                        val response = it.await()
                        withClue(response) {
                            // The request may have run.
                            response shouldStartWith "HTTP/1.1 502"
                            response shouldContain "stopping"
                        }
                    }
                }
            }
            release.countDown()
        }

        test("a request that waits for an instance when the time of a stop runs out is refused as not run") {
            val release = CountDownLatch(1)
            val engine =
                ScriptedUpstream { _, _ ->
                    release.await()
                    ConnectionAction.CLOSE
                }
            withGateway(engine, timeoutMs = 60_000, stopLimit = 3.seconds) {
                coroutineScope {
                    val prompt = "X-Prompt-Parts: a1:29000,b2:29000\r\n"
                    val running = async { call(STREAM, headers = prompt) }
                    eventually { engine.requests.value.size shouldBe 1 }
                    val waiting = async { call(STREAM, headers = prompt.replace("b2", "c3")) }
                    drainAndEnd()
                    withClue(waiting.await()) { waiting.await() shouldStartWith "HTTP/1.1 503" }
                    engine.requests.value.size shouldBe 1
                    running.await() shouldStartWith "HTTP/1.1 502"
                }
            }
            release.countDown()
        }
    })
