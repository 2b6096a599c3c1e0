/*
 * Guards against a planned stop of an entry that cuts a stream, loses a call, or leaves callers on it.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.teaselspring.daemon.eventually
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import java.util.concurrent.CountDownLatch

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
                    kept.use {
                        it.getOutputStream().write(request(PLAIN))
                        val answer = it.getInputStream().readAllBytes().decodeToString()
                        answer shouldContain "late"
                        answer.lowercase() shouldContain "connection: close"
                    }
                    stop.isActive shouldBe true
                    goOn.countDown()
                    val whole = stream.await()
                    whole shouldContain "data: b"
                    whole shouldContain "\r\n0\r\n"
                    stop.await()
                }
            }
        }
    })
