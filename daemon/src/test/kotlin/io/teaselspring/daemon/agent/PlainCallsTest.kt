/*
 * Guards against a plain response whose head arrives and whose body hangs: seen once with the client used before, on
 * the first call of a fresh agent. Each call here is the first one of a fresh client, and the body follows its head
 * at once, a little later, or clearly later.
 */
package io.teaselspring.daemon.agent

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.teaselspring.core.ClassName
import io.teaselspring.core.RequestId
import io.teaselspring.daemon.gateway.ConnectionAction
import io.teaselspring.daemon.gateway.ScriptedUpstream
import io.teaselspring.daemon.gateway.respond
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.RequestKind
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private const val FRESH_CLIENTS = 300
private const val BODY = "0123456789"

class PlainCallsTest :
    FunSpec({
        test("the body of a fresh client's first answer arrives whole, however soon it follows its head") {
            val calls = AtomicInteger()
            val service =
                ScriptedUpstream { request, output ->
                    val pauseMs = calls.getAndIncrement() % 3L
                    output.write("HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n".toByteArray())
                    output.flush()
                    if (pauseMs > 0) Thread.sleep(pauseMs)
                    output.write(BODY.toByteArray())
                    output.flush()
                    if (request.line.isEmpty()) ConnectionAction.KEEP else ConnectionAction.CLOSE
                }
            service.use {
                withContext(Dispatchers.IO) {
                    repeat(FRESH_CLIENTS) {
                        PlainCalls("http://${service.address}", 1.seconds).use { wholeBody(it) shouldBe BODY }
                    }
                }
            }
        }

        test("an answer larger than one read arrives whole while its reader is slow") {
            val large = "x".repeat(2_000_000)
            val service =
                ScriptedUpstream { request, output ->
                    output.respond(request, large)
                    ConnectionAction.CLOSE
                }
            service.use {
                PlainCalls("http://${service.address}", 1.seconds).use { wholeBody(it).length shouldBe large.length }
            }
        }
    })

private suspend fun wholeBody(calls: PlainCalls): String =
    calls.begin(submit()).use { call ->
        val body = StringBuilder()
        withTimeout(30.seconds) {
            while (true) {
                when (val event = call.next()) {
                    is PlainEvent.Head -> Unit
                    is PlainEvent.Piece -> body.append(event.bytes.decodeToString())
                    PlainEvent.End -> break
                    is PlainEvent.Broken, is PlainEvent.NotSent -> error("$event")
                }
            }
        }
        body.toString()
    }

private fun submit() =
    Message.Submit(
        RequestId("r1"),
        attempt = 1,
        organisation = null,
        organisationWeight = 1,
        keyId = null,
        ClassName("booking"),
        tier = 1,
        classWeight = 1,
        firstTokenBudgetMs = 1_000,
        betweenTokensTargetMs = null,
        deadlineMs = 30_000,
        displace = false,
        idempotent = true,
        RequestKind.HTTP,
        model = null,
        "GET",
        "/timetable",
        emptyList(),
        ByteArray(0),
    )
