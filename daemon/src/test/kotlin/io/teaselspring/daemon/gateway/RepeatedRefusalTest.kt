/*
 * Guards against an instance that writes an earlier response once more on a kept connection: the next caller would be
 * told that its request has not run, or get the failure of another request, while an instance runs it.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import java.io.OutputStream

private const val UNAVAILABLE = "503 Service Unavailable"
private const val NOT_RUN = "X-Not-Run: 1\r\n"

/** Refuses the request, with its own id or [id]. */
private fun OutputStream.refuse(
    request: ReceivedRequest,
    id: String? = request.header("X-Request-Id"),
) = respond(request, "full", UNAVAILABLE, id, NOT_RUN)

/**
 * Responds to the first request of each connection by [first]; on a kept connection it then writes [again] before the
 * response to each other request, all of which it runs.
 */
private fun repeating(
    ran: MutableList<String>,
    first: (ReceivedRequest, OutputStream) -> Unit,
    again: (ReceivedRequest, OutputStream) -> Unit,
): ScriptedUpstream {
    val firstRequests = java.util.concurrent.ConcurrentHashMap<OutputStream, ReceivedRequest>()
    return ScriptedUpstream { request, output ->
        val earlier = firstRequests.putIfAbsent(output, request)
        if (earlier == null) {
            first(request, output)
        } else {
            ran += request.body
            again(earlier, output)
            output.respond(request, "ran ${request.body}")
        }
        ConnectionAction.KEEP
    }
}

class RepeatedRefusalTest :
    FunSpec({
        listOf("with its id", "without an id").forEach { kind ->
            test("an earlier refusal that is written once more $kind is no refusal of the next request") {
                val ran = mutableListOf<String>()
                val engine =
                    repeating(ran, { request, output -> output.refuse(request) }) { earlier, output ->
                        output.refuse(earlier, earlier.header("X-Request-Id").takeIf { kind == "with its id" })
                    }
                withGateway(engine) {
                    repeat(5) { number ->
                        val body = "order $number"
                        val response = call(ORDER, body = body)
                        val isRefused = response.startsWith("HTTP/1.1 503") || "\"ran\":\"not run\"" in response
                        withClue("$response, ran: $ran") { (isRefused && body in ran) shouldBe false }
                    }
                }
            }
        }

        test("a request does not run at a second instance because the first has repeated an earlier refusal") {
            val ran = mutableListOf<String>()
            val engine =
                repeating(ran, { request, output -> output.refuse(request) }) { earlier, output ->
                    output.refuse(earlier, id = null)
                }
            val other =
                ScriptedUpstream { request, output ->
                    ran += request.body
                    output.respond(request)
                    ConnectionAction.KEEP
                }
            withGateway(engine, other) {
                repeat(20) { call(ORDER, body = "order $it") }
                withClue(ran) {
                    ran
                        .groupingBy { it }
                        .eachCount()
                        .values
                        .max() shouldBeLessThanOrEqual 1
                }
            }
        }

        test("an earlier failure that is written once more without an id does not reach the next caller") {
            val failed = "500 Internal Server Error"
            val engine =
                repeating(mutableListOf(), { request, output -> output.respond(request, "first failed", failed) }) {
                    earlier,
                    output,
                    ->
                    output.respond(earlier, "first failed", failed, id = null)
                }
            withGateway(engine) {
                call(ORDER, body = "one") shouldContain "first failed"
                call(ORDER, body = "two") shouldNotContain "first failed"
            }
        }

        test("a refusal without the request's id does not prove that the request has not run") {
            val engine =
                ScriptedUpstream { request, output ->
                    output.refuse(request, id = null)
                    ConnectionAction.KEEP
                }
            withGateway(engine) {
                val response = call(ORDER, body = "one")
                response shouldStartWith "HTTP/1.1 502"
                response shouldContain "outcome unknown"
            }
        }
    })
