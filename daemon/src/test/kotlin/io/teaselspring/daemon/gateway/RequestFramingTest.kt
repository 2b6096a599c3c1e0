/*
 * Guards against a request that is smuggled inside another one, and against pipelined requests that are lost at a stop,
 * run on after their caller has left, or reach an instance with another path.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.teaselspring.daemon.eventually
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val INNER =
    "POST ${ORDER}inner HTTP/1.1\r\nHost: rides.example\r\nX-Request-Id: inner\r\n" +
        "X-Api-Key: $SITE_KEY\r\nContent-Length: 0\r\n\r\n"

/** A head whose framing headers are [framing], followed by [body]. */
private class Form(
    val name: String,
    val framing: String,
    val body: String = INNER,
    val version: String = "HTTP/1.1",
)

private val refused =
    listOf(
        Form("another transfer coding", "Transfer-Encoding: gzip\r\n"),
        Form("deflate", "Transfer-Encoding: deflate\r\n"),
        Form("compress", "Transfer-Encoding: compress\r\n"),
        Form("identity", "Transfer-Encoding: identity\r\n"),
        Form("chunked with a parameter", "Transfer-Encoding: chunked;q=1\r\n"),
        Form("a coding before chunked", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n$INNER"),
        Form("a coding after chunked", "Transfer-Encoding: chunked, gzip\r\n", "0\r\n\r\n$INNER"),
        Form("chunked twice", "Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n$INNER"),
        Form("two headers", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n$INNER"),
        Form("an empty coding", "Transfer-Encoding: \r\n"),
        Form("a quoted coding", "Transfer-Encoding: \"chunked\"\r\n"),
        Form("an unknown coding", "Transfer-Encoding: xchunked\r\n"),
        Form("both framings", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n$INNER"),
        Form(
            "both framings, the length first",
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "0\r\n\r\n$INNER",
        ),
        Form("two lengths", "Content-Length: 0\r\nContent-Length: ${INNER.length}\r\n"),
        Form("a list of lengths", "Content-Length: 0, ${INNER.length}\r\n"),
        Form("a length with a sign", "Content-Length: +0\r\n"),
        Form("a negative length", "Content-Length: -1\r\n"),
        Form("a length in hex", "Content-Length: 0x10\r\n"),
        Form("an empty length", "Content-Length: \r\n"),
        Form("a huge length", "Content-Length: 99999999999999999999\r\n"),
        Form("a space before the colon", "Transfer-Encoding : chunked\r\n", "0\r\n\r\n$INNER"),
        Form("an odd chunk size", "Transfer-Encoding: chunked\r\n", "zz\r\n$INNER"),
        Form("a negative chunk size", "Transfer-Encoding: chunked\r\n", "-1\r\n$INNER"),
        Form("a line without a colon", "X-Note\r\n"),
        Form("a line of words without a colon", "GET / HTTP/1.1\r\n"),
        Form("a line without a name", ": x\r\n"),
        Form("a blank in a name", "X Note: a\r\n"),
        Form("a blank before the colon", "X-Note : a\r\n"),
        Form("an odd name", "X(Note): a\r\n"),
        Form("a name with a NUL", "X\u0000Note: a\r\n"),
        Form("a value with a NUL", "X-Note: a\u0000b\r\n"),
        Form("a value with a lone CR", "X-Note: a\rContent-Length: 5\r\n"),
        Form("HTTP/1.0 with another coding", "Transfer-Encoding: gzip\r\n", version = "HTTP/1.0"),
    )

private fun GatewaySite.send(form: Form): String =
    connect().use { socket ->
        val head = "POST ${ORDER}outer ${form.version}\r\nHost: rides.example\r\nX-Request-Id: outer\r\n"
        val request = "${head}X-Api-Key: $SITE_KEY\r\n${form.framing}\r\n${form.body}"
        socket.getOutputStream().write(request.toByteArray())
        socket.soTimeout = TimeUnit.SECONDS.toMillis(10).toInt()
        socket.getInputStream().readAllBytes().decodeToString()
    }

private fun Socket.send(vararg requests: ByteArray) =
    getOutputStream().write(requests.reduce { all, next -> all + next })

class RequestFramingTest :
    FunSpec({
        refused.forEach { form ->
            test("a request is refused, and nothing behind it runs: ${form.name}") {
                val engine =
                    ScriptedUpstream { request, output ->
                        output.respond(request)
                        ConnectionAction.KEEP
                    }
                withGateway(engine) {
                    val response = send(form)
                    withClue(response) {
                        response.take("HTTP/1.1 400".length) shouldBeIn listOf("HTTP/1.1 400", "HTTP/1.1 413")
                        Regex("HTTP/1.1 ").findAll(response).count() shouldBe 1
                        engine.requests.value.size shouldBe 0
                    }
                }
            }
        }

        test("a body in chunks is accepted in any case of letters") {
            val engine =
                ScriptedUpstream { request, output ->
                    output.respond(request)
                    ConnectionAction.CLOSE
                }
            withGateway(engine) {
                val closing = "Transfer-Encoding: Chunked\r\nConnection: close\r\n"
                send(Form("chunks", closing, "5\r\nhello\r\n0\r\n\r\n")) shouldContain "200 OK"
            }
        }

        // RFC 9112, section 5.2, lets a server unfold a line in place of refusing it.
        test("a folded line reaches the instance as one value on one line") {
            val engine =
                ScriptedUpstream { request, output ->
                    output.respond(request)
                    ConnectionAction.CLOSE
                }
            withGateway(engine) {
                call(ORDER, headers = "X-Note: a\r\n\tContent-Length: 5\r\n b\r\n") shouldContain "200 OK"
                val request = engine.requests.value.single()
                request.header("X-Note") shouldBe "a Content-Length: 5 b"
                request.header("Content-Length") shouldBe "0"
            }
        }

        test("a path with bytes that are not printable ASCII is refused") {
            val engine =
                ScriptedUpstream { request, output ->
                    output.respond(request)
                    ConnectionAction.KEEP
                }
            withGateway(engine) {
                connect().use { socket ->
                    val request =
                        request(
                            ORDER,
                            headers = "Connection: close\r\n",
                        ).decodeToString().replace("/x ", "/\u00e9 ")
                    socket.getOutputStream().write(request.toByteArray(Charsets.ISO_8859_1))
                    socket.getInputStream().readAllBytes().decodeToString() shouldContain "HTTP/1.1 400"
                }
                engine.requests.value.size shouldBe 0
            }
        }

        // The response to the first one tells the caller to close, although the second is read already.
        test("both of two pipelined requests are answered when a stop begins in between") {
            val release = CountDownLatch(1)
            val engine =
                ScriptedUpstream { request, output ->
                    release.await()
                    output.respond(request, "done")
                    ConnectionAction.KEEP
                }
            withGateway(engine) {
                coroutineScope {
                    connect().use { socket ->
                        socket.send(request(ORDER), request(ORDER))
                        eventually { engine.requests.value.size shouldBe 1 }
                        val drain = async { drain() }
                        eventually { isReady() shouldBe false }
                        release.countDown()
                        val responses = socket.getInputStream().readAllBytes().decodeToString()
                        withClue(responses) { Regex("200 OK").findAll(responses).count() shouldBe 2 }
                        drain.await()
                    }
                }
            }
        }

        test("a pipelined request behind one that the entry answers itself is cancelled when its caller leaves") {
            val answerFirst = CountDownLatch(1)
            val release = CountDownLatch(1)
            val engine =
                ScriptedUpstream { request, output ->
                    if (ORDER in request.line) {
                        answerFirst.await()
                        output.respond(request)
                        ConnectionAction.KEEP
                    } else {
                        output.streamHead(request)
                        // Writes until the connection is closed.
                        while (release.count > 0) {
                            output.chunk("id: 1\ndata: a\n\n")
                            Thread.sleep(20)
                        }
                        ConnectionAction.CLOSE
                    }
                }
            withGateway(engine, timeoutMs = 60_000) {
                connect().use { socket ->
                    val unidentified = request(STREAM).decodeToString().replace("X-Request-Id: r1\r\n", "")
                    socket.send(request(ORDER), unidentified.toByteArray(), request(STREAM))
                    eventually { engine.requests.value.size shouldBe 1 }
                    answerFirst.countDown()
                    eventually { engine.requests.value.size shouldBe 2 }
                }
                eventually { engine.closedByClient.value shouldBe 1 }
                release.countDown()
            }
        }
    })
