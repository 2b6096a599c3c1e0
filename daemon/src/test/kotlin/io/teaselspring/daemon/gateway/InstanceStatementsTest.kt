/*
 * Guards against requests to instances that have said in a response that they are leaving, or that they want none for a
 * while. The scripted instances count what they receive.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.daemon.eventually
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

private const val LEAVING = "X-Leaving: 1\r\n"
private const val NANOS_PER_MS = 1_000_000L
private const val BUFFER_BYTES = 64 * 1024

private fun sound() =
    ScriptedUpstream { request, output ->
        if (STREAM in request.line) output.wholeStream(request) else output.respond(request, "sound")
        ConnectionAction.KEEP
    }

private fun OutputStream.wholeStream(
    request: ReceivedRequest,
    extra: String = "",
) {
    streamHead(request, extra)
    chunk("id: 1\ndata: sound\n\n")
    lastChunk()
}

private class Statement(
    val name: String,
    val route: String,
    val write: OutputStream.(ReceivedRequest) -> Unit,
)

private val leavingStatements =
    listOf(
        Statement("a success", PLAIN) { respond(it, "sound", extra = LEAVING) },
        Statement("an error", ORDER) { respond(it, "error", "500 Error", extra = LEAVING) },
        Statement("a refusal", ORDER) { respond(it, "full", "503 Full", extra = "X-Not-Run: 1\r\n$LEAVING") },
        Statement("the head of a stream", STREAM) { wholeStream(it, LEAVING) },
    )

class InstanceStatementsTest :
    FunSpec({
        leavingStatements.forEach { statement ->
            test("an instance that says it is leaving in ${statement.name} gets no later request") {
                val leaving =
                    ScriptedUpstream { request, output ->
                        statement.write(output, request)
                        ConnectionAction.KEEP
                    }
                withGateway(leaving, sound()) {
                    repeat(40) { call(statement.route) }
                    leaving.requests.value.size shouldBe 1
                    // The registry's row, written again without the mark, does not take the statement back.
                    add("engine-0", leaving)
                    repeat(20) { call(statement.route) }
                    leaving.requests.value.size shouldBe 1
                }
            }
        }

        test("an instance that has said it is leaving gets no request when its row is deleted and comes back") {
            val leaving =
                ScriptedUpstream { request, output ->
                    output.respond(request, extra = LEAVING)
                    ConnectionAction.KEEP
                }
            withGateway(leaving, sound()) {
                eventually {
                    call(PLAIN)
                    leaving.requests.value.size shouldBe 1
                }
                instances.set("engine-0", null)
                delay(REGISTRY_READ)
                add("engine-0", leaving)
                delay(REGISTRY_READ)
                repeat(40) { call(PLAIN) }
                leaving.requests.value.size shouldBe 1
            }
        }

        test("a request whose connection opens after the instance has said that it is leaving is not sent") {
            val mayAnswer = CountDownLatch(1)
            val hasAnswered = CountDownLatch(1)
            val leaving =
                ScriptedUpstream { request, output ->
                    mayAnswer.await()
                    output.respond(request, extra = LEAVING)
                    hasAnswered.countDown()
                    ConnectionAction.KEEP
                }
            withGateway(leaving) {
                connect().use { caller ->
                    caller.getOutputStream().write(request("/unknown/"))
                    caller.getInputStream().read(ByteArray(BUFFER_BYTES))
                    coroutineScope {
                        val first = async { call(PLAIN) }
                        eventually { leaving.requests.value.size shouldBe 1 }
                        // The entry reads the second request, then the response to the first, then opens a connection.
                        onLoop {
                            caller.getOutputStream().write(request(PLAIN, id = "r2"))
                            mayAnswer.countDown()
                            hasAnswered.await()
                        }
                        first.await() shouldStartWith "HTTP/1.1 200"
                    }
                    val bytes = ByteArray(BUFFER_BYTES)
                    val length = caller.getInputStream().read(bytes)
                    bytes.decodeToString(0, length) shouldStartWith "HTTP/1.1 503"
                }
                leaving.requests.value.size shouldBe 1
            }
        }

        test("a new process under the id of an instance that has left gets requests") {
            val isLeaving = AtomicInteger(1)
            val instance =
                ScriptedUpstream { request, output ->
                    output.respond(request, extra = if (isLeaving.get() == 1) LEAVING else "")
                    ConnectionAction.KEEP
                }
            withGateway(instance) {
                call(PLAIN) shouldContain "done"
                call(PLAIN) shouldStartWith "HTTP/1.1 503"
                isLeaving.set(0)
                instances.set("engine-0", restarted(instance))
                eventually { call(PLAIN) shouldContain "done" }
            }
        }

        test("a response of another process at the address says nothing about the instance") {
            val calls = AtomicInteger()
            val instance =
                ScriptedUpstream { request, output ->
                    if (calls.incrementAndGet() == 1) {
                        output.respond(
                            request,
                            "other",
                            "421 Misdirected Request",
                            extra = "Retry-After: 60\r\n$LEAVING",
                        )
                    } else {
                        output.respond(request, "done")
                    }
                    ConnectionAction.KEEP
                }
            withGateway(instance) {
                call(PLAIN)
                eventually { call(PLAIN) shouldContain "done" }
            }
        }

        test("an instance that asks for a pause gets nothing until its end, and requests again afterwards") {
            val refusedAtMs = mutableListOf<Long>()
            val receivedAtMs = mutableListOf<Long>()
            val pausing =
                ScriptedUpstream { request, output ->
                    val nowMs = System.nanoTime() / NANOS_PER_MS
                    synchronized(receivedAtMs) { receivedAtMs += nowMs }
                    if (synchronized(refusedAtMs) { refusedAtMs.isEmpty().also { if (it) refusedAtMs += nowMs } }) {
                        output.respond(request, "full", "503 Full", extra = "X-Not-Run: 1\r\nRetry-After: 1.5\r\n")
                    } else {
                        output.respond(request, "back")
                    }
                    ConnectionAction.KEEP
                }
            withGateway(pausing, sound()) {
                eventually {
                    repeat(20) { call(ORDER) }
                    pausing.requests.value.size shouldBeGreaterThan 3
                }
            }
            val refusedMs = refusedAtMs.single()
            receivedAtMs.count { it > refusedMs && it < refusedMs + 1_500 } shouldBe 0
        }

        test("when all instances want a pause callers are told at once to come back when the first one ends") {
            val instance = { seconds: String ->
                ScriptedUpstream { request, output ->
                    output.respond(request, "full", "503 Full", extra = "X-Not-Run: 1\r\nRetry-After: $seconds\r\n")
                    ConnectionAction.KEEP
                }
            }
            val short = instance("1")
            val long = instance("3600")
            withGateway(short, long, timeoutMs = 60_000) {
                call(ORDER)
                call(ORDER)
                val received = short.requests.value.size + long.requests.value.size
                received shouldBeLessThanOrEqual 3
                val response = call(ORDER)
                withClue(response) {
                    response shouldStartWith "HTTP/1.1 503"
                    response shouldNotContain "3600"
                    val seconds = Regex("(?i)retry-after: ([0-9.]+)").find(response)!!.groupValues[1].toDouble()
                    seconds shouldBeGreaterThan 0.0
                    seconds shouldBeLessThanOrEqual 1.3
                }
            }
        }

        test("an unreadable pause is no pause, and the refusal counts as one") {
            for (value in listOf("0", "-5", "NaN", "soon", "Sat, 05 Dec 2026 16:00:00 GMT")) {
                val calls = AtomicInteger()
                val instance =
                    ScriptedUpstream { request, output ->
                        if (calls.incrementAndGet() == 1) {
                            val extra = "X-Not-Run: 1\r\nRetry-After: $value\r\n"
                            output.respond(request, "full", "503 Full", extra = extra)
                        } else {
                            output.respond(request, "done")
                        }
                        ConnectionAction.KEEP
                    }
                withGateway(instance) {
                    withClue(value) {
                        call(ORDER) shouldStartWith "HTTP/1.1 503"
                        call(ORDER) shouldContain "done"
                    }
                }
            }
        }
    })

/** Longer than the interval at which an entry reads the registry. */
private val REGISTRY_READ = 1_700.milliseconds

/** The row of a later process at the address of [upstream]. */
private fun restarted(upstream: ScriptedUpstream) =
    RegisteredInstance(
        InstanceId("engine-0"),
        GatewaySite.UPSTREAM,
        upstream.address,
        DataCentre("oviedo"),
        64,
        false,
        startedAtMs = 2,
    )
