/*
 * Guards against a response whose status line is not one of HTTP and that reaches a caller as an answer: a status that
 * is not three digits from 100 to 599 (RFC 9112, section 4; RFC 9110, section 15), or a control character in the reason
 * phrase.
 */
package io.teaselspring.daemon.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import io.teaselspring.daemon.agent.PlainEvent
import io.teaselspring.daemon.agent.UpstreamClient
import io.teaselspring.daemon.eventually
import io.teaselspring.daemon.gateway.ConnectionAction
import io.teaselspring.daemon.gateway.ORDER
import io.teaselspring.daemon.gateway.PLAIN
import io.teaselspring.daemon.gateway.STREAM
import io.teaselspring.daemon.gateway.ScriptedUpstream
import io.teaselspring.daemon.gateway.respond
import io.teaselspring.daemon.gateway.withGateway
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private val malformed =
    listOf("000", "000 Zero", "099 Low", "20 OK", "2000 OK", "600 High", "999 High", "0200 OK", "+200 OK", "-200 OK") +
        listOf("2e2 OK", "200OK", "", "2\u00b20 OK", "200 O\u0001K", "200 O\u007fK")
private val wellFormed =
    listOf("200", "200 ", "200 OK", "299 Odd", "400 Bad Request", "599 High", "200 Tr\u00e8s\tbien")

private fun response(
    status: String,
    id: String?,
    fields: String = "",
) = "HTTP/1.1 $status\r\nX-Request-Id: $id\r\nX-Signature: s\r\n${fields}Content-Length: 5\r\n\r\nhello"

class StatusLineTest :
    FunSpec({
        malformed.forEach { status ->
            listOf(ORDER, PLAIN, STREAM).forEach { route ->
                test("a response with the status \"${status.visible()}\" is no answer to a caller: $route") {
                    withGateway(upstreamWriting { response(status, it) }) {
                        val text = call(route)
                        withClue(text) {
                            text shouldStartWith "HTTP/1.1 502 "
                            text shouldNotContain "hello"
                        }
                    }
                }
            }

            test("a response with the status \"${status.visible()}\" is no answer to an agent or the control plane") {
                upstreamWriting { response(status, it) }.use { upstream ->
                    agentEvents(upstream).single().shouldBeInstanceOf<PlainEvent.Broken>()
                    controlCall(upstream).isLeft() shouldBe true
                }
            }
        }

        wellFormed.forEach { status ->
            test("a response with the status \"${status.visible()}\" is passed on") {
                upstreamWriting { response(status, it) }.use { upstream ->
                    agentEvents(upstream).first().shouldBeInstanceOf<PlainEvent.Head>().status shouldBe
                        status.take(3).toInt()
                    controlCall(upstream).getOrNull()?.status shouldBe status.take(3).toInt()
                    withGateway(upstream) {
                        val text = call(ORDER)
                        text shouldStartWith "HTTP/1.1 ${status.take(3)}"
                        text shouldEndWith "hello"
                    }
                }
            }
        }

        test("an informational response is skipped, and no answer by itself") {
            listOf("100 Continue", "103 Early Hints", "199 Odd").forEach { status ->
                val head = "HTTP/1.1 $status\r\n\r\n"
                withGateway(upstreamWriting { head + response("200 OK", it) }) { call(ORDER) shouldEndWith "hello" }
                withGateway(upstreamWriting { head }) { call(ORDER) shouldStartWith "HTTP/1.1 502 " }
            }
        }

        test("bytes that follow a change of the protocol are no answer") {
            val head = "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n"
            withGateway(
                upstreamWriting { head + response("200 OK", it) },
            ) { call(ORDER) shouldStartWith "HTTP/1.1 502 " }
        }

        // A number that is parsed leniently makes a refusal of what is none, and the request would run twice.
        test("a request is not sent again after a refusal whose status line is malformed") {
            listOf("0503 Full", "+503 Full", "0421 Other", "0429 Full").forEach { status ->
                fun refusing() = upstreamWriting { response(status, it, "X-Not-Run: 1\r\n") }
                val instances = listOf(refusing(), refusing())
                withGateway(*instances.toTypedArray()) {
                    val text = call(ORDER)
                    withClue("$status: $text") {
                        text shouldStartWith "HTTP/1.1 502 "
                        instances.sumOf { it.requests.value.size } shouldBe 1
                    }
                }
            }
        }

        test("a head with a malformed status line says nothing of its instance") {
            val requests = AtomicInteger()
            val instance =
                ScriptedUpstream { request, output ->
                    if (requests.getAndIncrement() == 0) {
                        val fields = "X-Leaving: 1\r\nX-Request-Limit: 0\r\nRetry-After: 3600\r\n"
                        output.write(response("0503 Full", request.header(REQUEST_ID_HEADER), fields).toByteArray())
                    } else {
                        output.respond(request)
                    }
                    ConnectionAction.CLOSE
                }
            withGateway(instance) {
                call(ORDER) shouldStartWith "HTTP/1.1 502 "
                call(PLAIN) shouldContain "done"
            }
        }

        test("a late copy with a malformed head is not skipped, and its exchange is broken") {
            listOf("000", "0200 OK", "0503 Full", "999 High").forEach {
                withGateway(upstreamWithLateCopy { id -> response(it, id, "X-Not-Run: 1\r\nX-Leaving: 1\r\n") }) {
                    call(PLAIN, id = "e1") shouldEndWith "done"
                    val text = call(ORDER, id = "r1")
                    withClue("$it: $text") { text shouldStartWith "HTTP/1.1 502 " }
                    eventually { call(PLAIN, id = "r2") shouldEndWith "done" }
                }
            }
        }

        test("a health check whose status line is malformed is no success") {
            upstreamWriting { response("0200 OK", it) }.use { upstream ->
                UpstreamClient("http://${upstream.address}", 5.seconds, 5.seconds).use {
                    it.isHealthy(5.seconds) shouldBe false
                }
            }
        }
    })
