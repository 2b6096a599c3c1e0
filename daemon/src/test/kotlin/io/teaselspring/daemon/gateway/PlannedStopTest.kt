/*
 * Guards against a planned stop of an entry that cuts a stream, loses a request, or leaves callers on it.
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

class PlannedStopTest :
    FunSpec({
        test("a stop lets a stream end whole, answers on open connections, and ends those connections") {
            val goOn = CountDownLatch(1)
            val began = CountDownLatch(1)
            val engine =
                ScriptedUpstream { request, output ->
                    if (request.line.contains(STREAM)) {
                        output.streamHead(request)
                        output.chunk("id: 1\ndata: a\n\n")
                        began.countDown()
                        goOn.await()
                        output.chunk("id: 2\ndata: b\n\n")
                        output.lastChunk()
                    } else {
                        output.answer(request, "late")
                    }
                    After.KEEP
                }
            withGateway(engine) {
                coroutineScope {
                    val stream = async { call(STREAM) }
                    val kept = connect()
                    began.await()
                    val stop = async { drain() }
                    eventually { isReady() shouldBe false }
                    // A caller that the balancer sent here before is still answered, and told to go elsewhere.
                    val response = kept.answerTo(request(PLAIN))
                    response shouldContain "late"
                    response.lowercase() shouldContain "connection: close"
                    stop.isActive shouldBe true
                    goOn.countDown()
                    val whole = stream.await()
                    whole shouldContain "data: b"
                    whole shouldContain "\r\n0\r\n"
                    stop.await()
                }
            }
        }

        test("a call that comes late in a stop is taken only if it ends before the process does") {
            val goOn = CountDownLatch(1)
            val began = CountDownLatch(1)
            val plainCalls = AtomicInteger()
            val engine =
                ScriptedUpstream { request, output ->
                    if (request.line.contains(STREAM)) {
                        output.streamHead(request)
                        began.countDown()
                        goOn.await()
                        output.lastChunk()
                    } else {
                        plainCalls.incrementAndGet()
                        output.answer(request, "whole")
                    }
                    After.KEEP
                }
            withGateway(engine, stopLimit = 8.seconds) {
                coroutineScope {
                    val stream = async { call(STREAM) }
                    began.await()
                    val stop = async { drain() }
                    eventually { isReady() shouldBe false }
                    connect().answerTo(request(PLAIN)) shouldContain "whole"
                    delay(PlannedStop.HANDOVER + 1.seconds)
                    // Its timeout of 5 s ends after the limit of the stop.
                    val refused = connect().answerTo(request(PLAIN))
                    refused shouldContain "HTTP/1.1 503"
                    refused shouldContain "Retry-After"
                    refused shouldContain "not run"
                    plainCalls.get() shouldBe 1
                    connect().answerTo(request(PLAIN, headers = "X-Time-Budget-Ms: 500\r\n")) shouldContain "whole"
                    goOn.countDown()
                    stream.await()
                    stop.await()
                }
            }
        }

        test("a call that comes while the last usage is stored is refused, not cut by the end of the process") {
            val calls = AtomicInteger()
            val engine =
                ScriptedUpstream { request, output ->
                    calls.incrementAndGet()
                    output.answer(request, "whole")
                    After.KEEP
                }
            withGateway(engine, stopLimit = 6.seconds, reportsUsage = true) {
                coroutineScope {
                    val kept = connect()
                    kept.getOutputStream().write(request(PLAIN))
                    eventually { kept.getInputStream().available() shouldBeGreaterThan 0 }
                    platform.outage = true
                    val stop = async { drain() }
                    delay(PlannedStop.HANDOVER + 500.milliseconds)
                    val responses = kept.answerTo(request(PLAIN, headers = "X-Time-Budget-Ms: 500\r\n"))
                    responses shouldContain "whole"
                    responses shouldContain "HTTP/1.1 503"
                    responses shouldContain "not run"
                    calls.get() shouldBe 1
                    platform.outage = false
                    stop.await()
                }
            }
        }
    })

private fun Socket.answerTo(request: ByteArray) =
    use {
        it.getOutputStream().write(request)
        it.getInputStream().readAllBytes().decodeToString()
    }
