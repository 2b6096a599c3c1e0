/*
 * Guards against requests through an agent to an upstream that has said in a response that it is leaving, or that it
 * wants none for a while. The scripted upstreams count what they receive.
 */
package io.teaselspring.daemon.agent

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.ktor.client.statement.bodyAsText
import io.teaselspring.core.registry.Availability
import io.teaselspring.daemon.FakeUpstream
import io.teaselspring.daemon.Site
import io.teaselspring.daemon.eventually
import io.teaselspring.daemon.gateway.ConnectionAction
import io.teaselspring.daemon.gateway.ReceivedRequest
import io.teaselspring.daemon.gateway.ScriptedUpstream
import io.teaselspring.daemon.gateway.chunk
import io.teaselspring.daemon.gateway.lastChunk
import io.teaselspring.daemon.gateway.respond
import io.teaselspring.daemon.gateway.streamHead
import io.teaselspring.daemon.withSite
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import java.io.OutputStream
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val LEAVING = "X-Leaving: 1\r\n"
private const val LINK_DELAY_MS = 200L

private val ReceivedRequest.isHealthCheck get() = "/healthz" in line

private fun upstream(
    port: Int = 0,
    write: OutputStream.(ReceivedRequest) -> Unit,
) = ScriptedUpstream(port) { request, output ->
    output.write(request)
    ConnectionAction.CLOSE
}

private fun OutputStream.stream(
    request: ReceivedRequest,
    extra: String,
) {
    streamHead(request, "Content-Type: text/event-stream\r\n$extra")
    chunk("id: 0\ndata: {\"choices\":[]}\n\ndata: [DONE]\n\n")
    lastChunk()
}

private class Statement(
    val name: String,
    val isChat: Boolean = false,
    val write: OutputStream.(ReceivedRequest, extra: String) -> Unit,
)

private val statements =
    listOf(
        Statement("a success") { request, extra -> respond(request, extra = extra) },
        Statement("an error") { request, extra -> respond(request, status = "500 Error", extra = extra) },
        Statement("the head of a stream", isChat = true) { request, extra -> stream(request, extra) },
        Statement("an error without a stream", isChat = true) { request, extra ->
            respond(request, status = "400 Bad", extra = extra)
        },
        Statement(
            "a refusal",
            isChat = true,
        ) { request, extra -> respond(request, status = "503 Full", extra = extra) },
    )

private suspend fun Site.call(isChat: Boolean) = if (isChat) chat("wool") else order()

class UpstreamStatementsTest :
    FunSpec({
        statements.forEach { statement ->
            test("an upstream that says it is leaving in ${statement.name} gets no later request, a new process does") {
                val leaving =
                    upstream { if (it.isHealthCheck) respond(it) else statement.write(this, it, LEAVING) }
                withSite {
                    val agent = agent("http://${leaving.address}", plainService = !statement.isChat).agent
                    start()
                    call(statement.isChat).bodyAsText()
                    eventually { agent.availability shouldBe Availability.LEAVING }
                    repeat(5) { call(statement.isChat).status.value shouldBe 503 }
                    leaving.requests.value.count { !it.isHealthCheck } shouldBe 1
                    leaving.close()
                    eventually { agent.availability shouldBe Availability.OPEN }
                    upstream(leaving.address.substringAfter(':').toInt()) {
                        if (statement.isChat && !it.isHealthCheck) stream(it, "") else respond(it)
                    }.use { eventually { call(statement.isChat).status.value shouldBe 200 } }
                }
            }
        }

        test("what is queued when an upstream says it is leaving runs elsewhere, and what runs ends in peace") {
            val isLeaving = AtomicBoolean()
            val gate = CompletableDeferred<Unit>()
            val leaving =
                upstream {
                    if (!it.isHealthCheck) while (!gate.isCompleted) Thread.sleep(1)
                    respond(it, extra = if (isLeaving.get()) LEAVING else "")
                }
            val sound = FakeUpstream().start().apply { plainGate = gate }
            withSite {
                val agent = agent("http://${leaving.address}", plainService = true, maxRunning = 1, maxQueued = 8).agent
                start()
                coroutineScope {
                    val calls = List(3) { async { order().status.value } }
                    eventually { agent.summary()["attempts"] shouldBe 3 }
                    val other = agent(sound, plainService = true).agent
                    eventually { (entry.summary().agents.size to other.isReachable) shouldBe (2 to true) }
                    isLeaving.set(true)
                    // After 5 s they would run elsewhere because they are late.
                    withTimeout(3.seconds) { eventually { agent.summary()["attempts"] shouldBe 1 } }
                    gate.complete(Unit)
                    calls.awaitAll().sorted() shouldBe listOf(200, 201, 201)
                }
                // A health response without the mark after one with it is that of a new process.
                isLeaving.set(false)
                eventually { agent.availability shouldBe Availability.OPEN }
            }
            leaving.requests.value.count { !it.isHealthCheck } shouldBe 1
        }

        (statements.filter { it.name == "a refusal" } + Statement("a health check") { _, _ -> }).forEach { statement ->
            test("an upstream that asks for a pause in ${statement.name} gets nothing, and callers are told its end") {
                val start = TimeSource.Monotonic.markNow()
                val receivedAtMs = CopyOnWriteArrayList<Long>()
                val isPausing = AtomicBoolean()
                val askedAtMs = AtomicLong()
                val pausing =
                    upstream {
                        receivedAtMs += start.elapsedNow().inWholeMilliseconds
                        val asks = it.isHealthCheck != statement.isChat && isPausing.compareAndSet(true, false)
                        if (asks) askedAtMs.set(start.elapsedNow().inWholeMilliseconds)
                        when {
                            asks -> respond(it, status = "503 Full", extra = "Retry-After: 1.5\r\n")
                            it.isHealthCheck -> respond(it)
                            else -> stream(it, "")
                        }
                    }
                withSite {
                    val agent = agent("http://${pausing.address}").agent
                    start()
                    isPausing.set(true)
                    if (statement.isChat) chat("wool").status.value shouldBe 429
                    eventually { agent.availability shouldBe Availability.PAUSED }
                    val pausedAtMs = start.elapsedNow().inWholeMilliseconds
                    while (start.elapsedNow().inWholeMilliseconds < pausedAtMs + 1_000) {
                        val beforeMs = start.elapsedNow().inWholeMilliseconds
                        val refused = chat("wool")
                        val afterMs = start.elapsedNow().inWholeMilliseconds
                        withClue(refused.bodyAsText()) { refused.status.value shouldBe 429 }
                        // Whole seconds, rounded up after a spread of one second. The pause has begun at some time
                        // between the request that was told of it and the first look at the agent's state; the entry
                        // counts it from the load report, which may arrive later.
                        val earliestMs = maxOf(1_000, askedAtMs.get() + 1_500 - afterMs)
                        val latestMs = pausedAtMs + 1_500 - beforeMs + 2_000 + LINK_DELAY_MS
                        refused.headers["Retry-After"].orEmpty().toLong() * 1_000 shouldBeInRange earliestMs..latestMs
                        delay(20.milliseconds)
                    }
                    eventually { chat("wool").status.value shouldBe 200 }
                    receivedAtMs.filter { it in pausedAtMs + 50..pausedAtMs + 1_400 } shouldBe emptyList()
                }
            }
        }
    })
