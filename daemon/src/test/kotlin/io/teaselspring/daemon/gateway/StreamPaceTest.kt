/*
 * Guards against slow but sound streams that are cut, and against stalled ones that a byte now and then keeps open.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.teaselspring.daemon.eventually

private const val EVENTS = 4

/** Longer than the pause after which an instance gets no new requests. */
private const val SLOW_PAUSE_MS = STREAM_STALL_MS + 200

class StreamPaceTest :
    FunSpec({
        test("a slow stream with long pauses between its events reaches the caller whole") {
            val slow =
                ScriptedUpstream { request, output ->
                    output.streamHead(request)
                    repeat(EVENTS) {
                        Thread.sleep(SLOW_PAUSE_MS)
                        output.chunk("id: $it\ndata: event $it\n\n")
                    }
                    output.lastChunk()
                    ConnectionAction.KEEP
                }
            withGateway(slow, timeoutMs = 30_000) {
                val response = call(STREAM)
                repeat(EVENTS) { response shouldContain "data: event $it" }
                response shouldContain "\r\n0\r\n"
            }
        }

        listOf(STREAM, RESUMED).forEach { route ->
            test("a stalled stream on $route that sends a byte now and then ends at the timeout, as incomplete") {
                val dripping =
                    ScriptedUpstream { request, output ->
                        output.streamHead(request)
                        output.chunk("id: 1\ndata: ")
                        while (true) {
                            output.chunk("a")
                            Thread.sleep(20)
                        }
                        @Suppress("UNREACHABLE_CODE")
                        ConnectionAction.CLOSE
                    }
                withGateway(dripping, timeoutMs = 500) {
                    call(route) shouldNotContain "\r\n0\r\n"
                    eventually { dripping.closedByClient.value shouldBe dripping.requests.value.size }
                }
            }
        }

        test("a caller that reads slowly gets its stream whole, and its instance still gets requests") {
            val data = "x".repeat(2_000)
            val fast =
                ScriptedUpstream { request, output ->
                    if (request.line.contains(STREAM)) {
                        output.streamHead(request)
                        repeat(2_000) { output.chunk("id: $it\ndata: $data\n\n") }
                        output.lastChunk()
                    } else {
                        output.respond(request, "whole")
                    }
                    ConnectionAction.KEEP
                }
            withGateway(fast, timeoutMs = 30_000) {
                connect().use { socket ->
                    socket.getOutputStream().write(request(STREAM, headers = "Connection: close\r\n"))
                    Thread.sleep(SLOW_PAUSE_MS)
                    call(PLAIN) shouldContain "whole"
                    socket
                        .getInputStream()
                        .readAllBytes()
                        .decodeToString() shouldContain "\r\n0\r\n"
                }
            }
        }
    })
