/*
 * Guards against a kept connection on which requests are refused, let through or timed out by the limits of an earlier
 * configuration, or of none.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.core.routing.CallerLimits
import io.teaselspring.daemon.eventually
import kotlinx.coroutines.delay
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.seconds

private val low = CallerLimits(headerBytes = 500, bodyBytes = 100)
private val high = CallerLimits(headerBytes = 2_000, bodyBytes = 1_000)
private val LARGE_BODY = "b".repeat(300)
private val LARGE_HEADER = "X-Note: ${"n".repeat(700)}\r\n"
private const val LATER_KEY = "k2"

private class KeptConnection(
    private val socket: Socket,
) {
    private val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)

    fun send(bytes: ByteArray) = socket.getOutputStream().write(bytes)

    /** Reads a response and returns its status, or null at the end of the connection. */
    fun status(hasBody: Boolean = true): Int? {
        val head = generateSequence(input::readLine).takeWhile { it.isNotEmpty() }.toList()
        val length = head.firstOrNull { it.startsWith("content-length: ", ignoreCase = true) }
        if (hasBody) repeat(length?.substringAfter(": ")?.toInt() ?: 0) { input.read() }
        return head
            .firstOrNull()
            ?.split(' ')
            ?.get(1)
            ?.toInt()
    }

    fun exchange(request: ByteArray): Int? = send(request).let { status() }
}

private fun echo(beforeResponse: (ReceivedRequest) -> Unit = {}) =
    ScriptedUpstream { request, output ->
        beforeResponse(request)
        output.respond(request, "done")
        ConnectionAction.KEEP
    }

private suspend fun withLimits(
    limits: CallerLimits,
    upstream: ScriptedUpstream = echo(),
    block: suspend GatewaySite.(KeptConnection) -> Unit,
) = withSite(GatewaySite(listOf(upstream), limits = limits)) {
    connect().use { socket ->
        socket.soTimeout = 10.seconds.inWholeMilliseconds.toInt()
        block(KeptConnection(socket))
    }
}

/** Puts [limits] in force. */
private suspend fun GatewaySite.change(limits: CallerLimits) {
    config.set("config", configOf(version = 2, setOf(SITE_KEY, LATER_KEY), limits))
    eventually { call(PLAIN, key = LATER_KEY) shouldStartWith "HTTP/1.1 200" }
}

class KeptConnectionLimitsTest :
    FunSpec({
        listOf(
            Triple("body", 413, { site: GatewaySite -> site.request(PLAIN, body = LARGE_BODY) }),
            Triple("header", 431, { site: GatewaySite -> site.request(PLAIN, headers = LARGE_HEADER) }),
        ).forEach { (part, refusal, largeRequest) ->
            test("a raised limit allows a larger $part on a kept connection") {
                withLimits(low) { connection ->
                    connection.exchange(request(PLAIN)) shouldBe 200
                    change(high)
                    connection.exchange(largeRequest(this)) shouldBe 200
                }
            }

            test("a lowered limit refuses a larger $part on a kept connection") {
                withLimits(high) { connection ->
                    connection.exchange(largeRequest(this)) shouldBe 200
                    change(low)
                    connection.exchange(largeRequest(this)) shouldBe refusal
                }
            }

            test("a raised limit allows a larger $part in a request that is pipelined behind a running one") {
                val release = CountDownLatch(1)
                withLimits(low, echo { if (ORDER in it.line) release.await() }) { connection ->
                    connection.exchange(request(PLAIN)) shouldBe 200
                    connection.send(request(ORDER))
                    change(high)
                    connection.send(largeRequest(this) + request(PLAIN))
                    release.countDown()
                    List(3) { connection.status() } shouldBe listOf(200, 200, 200)
                }
            }

            test("a raised limit allows a larger $part in a request whose first bytes came with the one before") {
                withLimits(low) { connection ->
                    val request = largeRequest(this)
                    connection.exchange(request(PLAIN) + request.copyOf(10)) shouldBe 200
                    change(high)
                    connection.exchange(request.drop(10).toByteArray()) shouldBe 200
                }
            }

            test("a lowered limit refuses a larger $part in a request pipelined behind one that began before") {
                withLimits(high) { connection ->
                    val expect = "Expect: 100-continue\r\n"
                    val first = request(PLAIN, headers = LARGE_HEADER + expect, body = LARGE_BODY)
                    connection.exchange(first.copyOf(first.size - 1)) shouldBe 100
                    change(low)
                    connection.exchange(first.takeLast(1).toByteArray() + largeRequest(this)) shouldBe 200
                    connection.status() shouldBe refusal
                }
            }
        }

        test("a limit that is lowered within a header holds from the next request on") {
            withLimits(high) { connection ->
                val request = request(PLAIN, headers = LARGE_HEADER)
                connection.exchange(request(PLAIN) + request.copyOf(100)) shouldBe 200
                change(low)
                connection.exchange(request.drop(100).toByteArray()) shouldBe 200
                connection.exchange(request) shouldBe 431
            }
        }

        test("the idle timeout of a kept connection changes with the configuration") {
            withLimits(CallerLimits(idleTimeoutMs = 2_000)) { connection ->
                connection.exchange(request(PLAIN)) shouldBe 200
                change(CallerLimits(idleTimeoutMs = 60_000))
                delay(4.seconds)
                connection.exchange(request(PLAIN)) shouldBe 200
            }
            withLimits(CallerLimits(idleTimeoutMs = 60_000)) { connection ->
                connection.exchange(request(PLAIN)) shouldBe 200
                change(CallerLimits(idleTimeoutMs = 1_000))
                connection.status() shouldBe null
            }
        }

        test("a raised header timeout holds for a request on a kept connection") {
            withLimits(CallerLimits(headerTimeoutMs = 1_000)) { connection ->
                connection.exchange(request(PLAIN)) shouldBe 200
                change(CallerLimits(headerTimeoutMs = 60_000))
                val request = request(PLAIN, body = LARGE_BODY)
                connection.send(request.copyOf(request.size - 1))
                delay(3.seconds)
                connection.exchange(request.takeLast(1).toByteArray()) shouldBe 200
            }
        }

        test("the first configuration holds for a connection that was opened before it was known") {
            val site = GatewaySite(listOf(echo()), limits = null)
            site.connect().use { socket ->
                val connection = KeptConnection(socket)
                connection.exchange(site.request(PLAIN)) shouldBe 503
                site.config.set("config", site.configOf(version = 1, limits = CallerLimits(headerBytes = 40_000)))
                withSite(site) {
                    connection.exchange(request(PLAIN, headers = LARGE_HEADER.repeat(40))) shouldBe 200
                }
            }
        }

        // The response to HEAD has the header of a body without the body, which would be read as the next response.
        test("a response to HEAD has no body") {
            withLimits(high) { connection ->
                connection.send(request("/nowhere/", method = "HEAD") + request(PLAIN))
                connection.status(hasBody = false) shouldBe 404
                connection.status() shouldBe 200
            }
        }
    })
