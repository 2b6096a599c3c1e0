/*
 * Guards against a response that is joined from two, where the second one is slow, broken off as well, or has a head
 * with unusual bytes, and against sound responses that are lost to the check.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

private const val HALF = "{\"half\": \"of the body"
private const val LENGTH = 80

private fun head(
    id: String?,
    type: String = "application/json",
    length: Int? = LENGTH,
) = "HTTP/1.1 200 OK\r\nContent-Type: $type\r\nX-Request-Id: $id\r\nX-Signature: s\r\n" +
    length?.let { "Content-Length: $it\r\n" }.orEmpty() + "\r\n"

private fun other(
    id: String?,
    server: String = "scripted",
) = "HTTP/1.1 500 Internal Server Error\r\nServer: $server\r\nX-Request-Id: $id\r\nX-Signature: s2\r\n" +
    "Content-Length: 4\r\n\r\nfail"

/** Writes the pieces of [write] with [pauseMs] between them and then closes the connection. */
private fun writing(
    pauseMs: Long = 0,
    write: (ReceivedRequest) -> List<String>,
) = ScriptedUpstream { request, output ->
    write(request).forEachIndexed { index, piece ->
        if (index > 0) Thread.sleep(pauseMs)
        output.write(piece.toByteArray(Charsets.ISO_8859_1))
        output.flush()
    }
    ConnectionAction.CLOSE
}

private fun ReceivedRequest.id() = header("X-Request-Id")

private suspend fun ScriptedUpstream.callerShouldNotGetStatusLine(
    body: String = "",
    line: String = "HTTP/1.1",
) = withGateway(this, timeoutMs = 1_500) {
    val text = call(ORDER, body = body)
    withClue(text) { text.substringAfter("\r\n\r\n") shouldNotContain line }
}

class SplicedTwiceTest :
    FunSpec({
        test("a second response whose head comes in two parts, the later one after the hold, is no part of the first") {
            for (cutAt in listOf(1, 8, 45)) {
                writing(pauseMs = 120) {
                    val second = other(it.id())
                    listOf(head(it.id()) + HALF + second.take(cutAt), second.drop(cutAt))
                }.callerShouldNotGetStatusLine()
            }
        }

        test("a second response that is broken off in its head does not complete the first") {
            writing { listOf(head(it.id()) + HALF + other(it.id()).take(LENGTH - HALF.length + 1)) }
                .callerShouldNotGetStatusLine()
        }

        test("a body of text does not end inside the start of a status line") {
            writing { listOf(head(it.id(), "text/plain", HALF.length + 4) + HALF + "HTTP/1.1") }
                .callerShouldNotGetStatusLine(line = "HTTP")
        }

        test("a compressed body may end with the first bytes of a status line") {
            val sound =
                writing {
                    listOf(
                        head(it.id(), "application/json\r\nContent-Encoding: br", HALF.length + 1) + HALF + "H",
                    )
                }
            withGateway(sound, timeoutMs = 1_500) {
                val text = call(ORDER)
                withClue(text) { text.substringAfter("\r\n\r\n") shouldBe HALF + "H" }
            }
        }

        test("a second response that is broken off in its head is no end of a body until close") {
            writing { listOf(head(it.id(), length = null) + HALF + other(it.id()).take(45)) }
                .callerShouldNotGetStatusLine()
        }

        test("a second response with a byte 0x85 or a folded line in its head is found") {
            listOf("\u00c3\u0085rsta", "a\r\n b").forEach { server ->
                writing { listOf(head(it.id(), length = null) + HALF + other(it.id(), server)) }
                    .callerShouldNotGetStatusLine()
            }
        }

        test("a second response is found although the caller wrote its id into its request") {
            writing { listOf(head(it.id(), "text/plain", length = null) + HALF + other(it.id())) }
                .callerShouldNotGetStatusLine(body = "{\"order\":\"r1\"}")
        }

        test("a late copy that quotes a response does not cost the next response") {
            val quote = "a log:\nHTTP/1.1 500 Oops\r\nServer: x\r\n\r\nend"
            val earlier = java.util.concurrent.ConcurrentHashMap<java.io.OutputStream, String>()
            val kept = AtomicInteger()
            val instance =
                ScriptedUpstream { request, output ->
                    val before = earlier.put(output, checkNotNull(request.id()))
                    val copy = before?.let { head(it, "text/plain", quote.length) + quote }.orEmpty()
                    if (before != null) kept.incrementAndGet()
                    val own = head(request.id(), "text/plain", quote.length) + quote
                    output.write((copy + own).toByteArray())
                    output.flush()
                    ConnectionAction.KEEP
                }
            withGateway(instance) {
                repeat(4) {
                    val response = ReceivedResponse(call(ORDER, id = "q$it"))
                    withClue("$it ${kept.get()} ${response.text}") { response.body shouldBe quote }
                }
            }
        }

        test("a stream that quotes a head line by line is forwarded while it arrives") {
            val isRead = CountDownLatch(1)
            val wasReadInTime = AtomicBoolean()
            val instance =
                ScriptedUpstream { request, output ->
                    output.write((head(request.id(), "text/plain", null) + "HTTP/1.1 200 OK\n").toByteArray())
                    repeat(50) {
                        output.write("Key-$it: value\n".toByteArray())
                        if (isRead.await(30, TimeUnit.MILLISECONDS)) wasReadInTime.set(true)
                    }
                    ConnectionAction.CLOSE
                }
            withGateway(instance) {
                connect().use { socket ->
                    socket.getOutputStream().write(request(STREAM))
                    val text = StringBuilder()
                    while ("Key-1:" !in text) text.append(socket.getInputStream().read().toChar())
                    isRead.countDown()
                    socket.getInputStream().readAllBytes()
                }
                wasReadInTime.get() shouldBe true
            }
        }

        // The route's timeout ends the request if the work grows with the square of the body.
        test("many quoted status lines do not occupy the event loop") {
            val line = "HTTP/1.1 200 OK\nA: b\n \n"
            val body = line.repeat(3_000_000 / line.length)
            val instance = writing { listOf(head(it.id(), "text/plain", body.length) + body) }
            withGateway(instance) { ReceivedResponse(call(ORDER)).body shouldBe body }
        }
    })
