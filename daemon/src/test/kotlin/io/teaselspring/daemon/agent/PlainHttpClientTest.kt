/*
 * Guards against a plain response whose head arrives but whose body hangs, as once happened with an earlier client on
 * the first request of a new agent. Each request here is the first of a new client, and the body follows the head after
 * 0, 1 or 2 ms.
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

private const val NEW_CLIENTS = 300
private const val BODY = "0123456789"

class PlainHttpClientTest :
    FunSpec({
        test(
            "the first response of a new client arrives with its complete body after any delay between head and body",
        ) {
            val requests = AtomicInteger()
            val service =
                ScriptedUpstream { request, output ->
                    val bodyDelayMs = requests.getAndIncrement() % 3L
                    output.write("HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n".toByteArray())
                    output.flush()
                    if (bodyDelayMs > 0) Thread.sleep(bodyDelayMs)
                    output.write(BODY.toByteArray())
                    output.flush()
                    if (request.line.isEmpty()) ConnectionAction.KEEP else ConnectionAction.CLOSE
                }
            service.use {
                withContext(Dispatchers.IO) {
                    repeat(NEW_CLIENTS) {
                        PlainHttpClient("http://${service.address}", 1.seconds).use { readBody(it) shouldBe BODY }
                    }
                }
            }
        }

        test("a response larger than one read arrives completely under backpressure") {
            val large = "x".repeat(2_000_000)
            val service =
                ScriptedUpstream { request, output ->
                    output.respond(request, large)
                    ConnectionAction.CLOSE
                }
            service.use {
                PlainHttpClient(
                    "http://${service.address}",
                    1.seconds,
                ).use { readBody(it).length shouldBe large.length }
            }
        }
    })

private suspend fun readBody(client: PlainHttpClient): String =
    client.send(submit()).use { exchange ->
        val body = StringBuilder()
        withTimeout(30.seconds) {
            while (true) {
                when (val event = exchange.next()) {
                    is PlainEvent.Head -> Unit
                    is PlainEvent.BodyChunk -> body.append(event.bytes.decodeToString())
                    PlainEvent.End -> break
                    is PlainEvent.Broken, is PlainEvent.NotSent -> error("$event")
                }
            }
        }
        body.toString()
    }

/** A plain request that a test sends to an agent or to its upstream. */
internal fun submit() =
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
