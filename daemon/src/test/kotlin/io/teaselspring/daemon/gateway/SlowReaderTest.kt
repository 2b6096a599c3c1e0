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
private fun Socket.readSlowly(): Int {
    val buffer = ByteArray((BYTES_A_SECOND * STEP_MS / 1_000).toInt())
    var total = 0
    while (true) {
        val count = runCatching { getInputStream().readNBytes(buffer, 0, buffer.size) }.getOrDefault(0)
        total += count
        if (count < buffer.size) return total
        Thread.sleep(STEP_MS)
    }
}

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

class SlowReaderTest :
    FunSpec({
        // A response that is cut may leave its caller without an end.
        timeout = 1.minutes.inWholeMilliseconds

        test("a stop waits for a caller that is still reading its response") {
            val engine = largeResponses()
            withGateway(engine, timeoutMs = 60_000, stopLimit = 1.minutes) {
                coroutineScope {
                    connect(RECEIVE_BUFFER_BYTES).use { socket ->
                        socket.getOutputStream().write(request(PLAIN))
                        eventually { engine.requests.value.size shouldBe 1 }
                        val received = async { socket.readSlowly() }
                        drainAndEnd()
                        received.await() - BODY_BYTES shouldBeInRange HEAD_BYTES
                    }
                }
            }
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
            val limits = CallerLimits(idleTimeoutMs = 1_000)
            withSite(GatewaySite(listOf(largeResponses()), timeoutMs = 60_000, limits = limits)) {
                connect(RECEIVE_BUFFER_BYTES).use { socket ->
                    socket.getOutputStream().write(request(PLAIN))
                    socket.readSlowly() - BODY_BYTES shouldBeInRange HEAD_BYTES
                }
            }
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
