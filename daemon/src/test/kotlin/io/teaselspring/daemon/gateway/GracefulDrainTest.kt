/*
 * Guards against a drain that truncates a stream, loses a request, or keeps callers on the entry.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.teaselspring.daemon.eventually
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GracefulDrainTest :
    FunSpec({
        test("a drain lets a stream complete, responds on open connections, and closes those connections") {
            val release = CountDownLatch(1)
            val started = CountDownLatch(1)
            val engine =
                ScriptedUpstream { request, output ->
                    if (request.line.contains(STREAM)) {
                        output.streamHead(request)
                        output.chunk("id: 1\ndata: a\n\n")
                        started.countDown()
                        release.await()
                        output.chunk("id: 2\ndata: b\n\n")
                        output.lastChunk()
                    } else {
                        output.respond(request, "late")
                    }
                    ConnectionAction.KEEP
                }
            withGateway(engine) {
                coroutineScope {
                    val stream = async { call(STREAM) }
                    val kept = connect()
                    started.await()
                    val drain = async { drain() }
                    eventually { isReady() shouldBe false }
                    // A caller with an open connection still gets a response, and the header to close it.
                    val response = kept.exchange(request(PLAIN))
                    response shouldContain "late"
                    response.lowercase() shouldContain "connection: close"
                    drain.isActive shouldBe true
                    release.countDown()
                    val whole = stream.await()
                    whole shouldContain "data: b"
                    whole shouldContain "\r\n0\r\n"
                    drain.await()
                }
            }
        }

        test("a request late in a drain is accepted only if its deadline is before the limit of the drain") {
            val release = CountDownLatch(1)
            val started = CountDownLatch(1)
            val plainCalls = AtomicInteger()
            val engine =
                ScriptedUpstream { request, output ->
                    if (request.line.contains(STREAM)) {
                        output.streamHead(request)
                        started.countDown()
                        release.await()
                        output.lastChunk()
                    } else {
                        plainCalls.incrementAndGet()
                        output.respond(request, "whole")
                    }
                    ConnectionAction.KEEP
                }
            withGateway(engine, stopLimit = 8.seconds) {
                coroutineScope {
                    val stream = async { call(STREAM) }
                    started.await()
                    val drain = async { drain() }
                    eventually { isReady() shouldBe false }
                    connect().exchange(request(PLAIN)) shouldContain "whole"
                    delay(GracefulDrain.DEREGISTRATION_DELAY + 1.seconds)
                    // Its timeout of 5 s expires after the limit of the drain.
                    val refused = connect().exchange(request(PLAIN))
                    refused shouldContain "HTTP/1.1 503"
                    refused shouldContain "Retry-After"
                    refused shouldContain "not run"
                    plainCalls.get() shouldBe 1
                    connect().exchange(request(PLAIN, headers = "X-Time-Budget-Ms: 500\r\n")) shouldContain "whole"
                    release.countDown()
                    stream.await()
                    drain.await()
                }
            }
        }

        test("a request during the final flush of usage is refused and not truncated by the exit of the process") {
            val calls = AtomicInteger()
            val engine =
                ScriptedUpstream { request, output ->
                    calls.incrementAndGet()
                    output.respond(request, "whole")
                    ConnectionAction.KEEP
                }
            withGateway(engine, stopLimit = 6.seconds, reportsUsage = true) {
                coroutineScope {
                    val kept = connect()
                    kept.getOutputStream().write(request(PLAIN))
                    eventually { kept.getInputStream().available() shouldBeGreaterThan 0 }
                    platform.outage = true
                    val drain = async { drain() }
                    delay(GracefulDrain.DEREGISTRATION_DELAY + 500.milliseconds)
                    val responses = kept.exchange(request(PLAIN, headers = "X-Time-Budget-Ms: 500\r\n"))
                    responses shouldContain "whole"
                    responses shouldContain "HTTP/1.1 503"
                    responses shouldContain "not run"
                    calls.get() shouldBe 1
                    platform.outage = false
                    drain.await()
                }
            }
        }
    })

private fun Socket.exchange(request: ByteArray) =
    use {
        it.getOutputStream().write(request)
        it.getInputStream().readAllBytes().decodeToString()
    }
