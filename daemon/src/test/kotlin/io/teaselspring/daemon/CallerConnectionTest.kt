/*
 * Guards against requests that go on after their caller has left, and calls that the listener for callers loses.
 */
package io.teaselspring.daemon

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.Socket
import java.net.URI
import kotlin.time.Duration.Companion.seconds

/** Sends a request on a connection of its own, whose response is read from the returned socket. */
fun Site.rawCall(
    line: String,
    body: String,
    more: String = "",
): Socket {
    val target = URI(url)
    val head = "$line\r\nHost: entry\r\nX-Api-Key: $SECRET\r\nContent-Length: ${body.length}\r\n$more\r\n"
    return Socket(target.host, target.port).apply {
        getOutputStream().write((head + body).toByteArray())
    }
}

/** All that arrives until the connection closes; what arrived so far and the failure if it does not. */
private fun Socket.answer(): String {
    val received = ByteArrayOutputStream()
    return try {
        getInputStream().copyTo(received)
        received.toString()
    } catch (e: IOException) {
        "$e after: $received"
    }
}

private const val CHAT_LINE = "POST /v1/chat/completions HTTP/1.1"

private fun chatBody(stream: Boolean) =
    """{"model":"$MODEL","stream":$stream,"messages":[{"role":"user","content":"wool"}]}"""

class CallerConnectionTest :
    FunSpec({
        test("100 callers that vanish at once leave no request on the agent") {
            withSite {
                val engine = FakeUpstream().start()
                engine.gate = CompletableDeferred()
                engine.holdBefore = 0
                val running = agent(engine, maxRunning = 200, maxQueued = 200)
                start()
                coroutineScope {
                    (0 until 100)
                        .map { i -> async(Dispatchers.IO) { rawCall(CHAT_LINE, chatBody(i % 2 == 0)).close() } }
                        .awaitAll()
                }
                // Time for requests still on their way; without it the check could pass before they arrive.
                delay(1.seconds)
                eventually { running.agent.summary()["attempts"] shouldBe 0L }
            }
        }

        test("calls with Connection: close are all answered whole") {
            withSite {
                agent(FakeUpstream().start(), maxRunning = 200, maxQueued = 200)
                start()
                // Few at a time, so that load shedding refuses none of them.
                val slots = Semaphore(4)
                val responses =
                    coroutineScope {
                        (0 until 60)
                            .map { i ->
                                async(Dispatchers.IO) {
                                    slots.withPermit {
                                        rawCall(CHAT_LINE, chatBody(i % 2 == 0), "Connection: close\r\n").use {
                                            it.soTimeout = 10_000
                                            it.answer()
                                        }
                                    }
                                }
                            }.awaitAll()
                    }
                responses.filterNot { it.startsWith("HTTP/1.1 200") && "wool4 " in it } shouldBe emptyList()
            }
        }
    })
