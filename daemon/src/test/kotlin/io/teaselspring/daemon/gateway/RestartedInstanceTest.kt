/*
 * Guards against streams that are joined from two software versions because an instance has started again under its id
 * and address with another version, and the registry still lists the process of before.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.daemon.eventually
import io.teaselspring.daemon.http.ProcessQuery
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.hours

private const val PROCESS_PATH = "/process"
private val processQuery = ProcessQuery(PROCESS_PATH, startedAtMsOf = { it.toLongOrNull() })

/** The registry lists the process that started at this time; see [GatewaySite.add]. */
private const val LISTED_START = "1"

/**
 * An instance whose events name the [version] of its process, and which answers [processStatus] and [processBody] when
 * it is asked for its process. Its streams end after one event while [breaks].
 */
private class RestartingUpstream(
    @Volatile var version: String,
    @Volatile var breaks: Boolean = false,
) {
    @Volatile var processBody = LISTED_START

    @Volatile var processStatus = "200 OK"

    /** How many questions for the process get no answer. */
    val hangingQuestions = AtomicInteger()

    /** Whether its connections end with each stream, so that none is kept. */
    @Volatile var closesAfterStreams = false

    /** Whether the connection is closed without an answer to the next request on it. */
    @Volatile var dropsNext = false

    val upstream =
        ScriptedUpstream { request, output ->
            when {
                dropsNext -> ConnectionAction.CLOSE.also { dropsNext = false }
                request.line.startsWith("GET $PROCESS_PATH ") -> {
                    if (hangingQuestions.getAndDecrement() > 0) Thread.sleep(3_000)
                    output.respond(request, processBody, processStatus)
                    ConnectionAction.KEEP
                }
                else -> {
                    output.streamHead(request, if (closesAfterStreams) "Connection: close\r\n" else "")
                    val after = request.header("Last-Event-Id")?.toInt() ?: 0
                    val last = if (breaks) after + 1 else LAST_EVENT
                    for (id in after + 1..last) output.chunk("id: $id\ndata: $version\n\n")
                    if (!breaks) output.lastChunk()
                    // A reset may overtake the event before it.
                    if (breaks) Thread.sleep(50)
                    when {
                        breaks -> ConnectionAction.RESET
                        closesAfterStreams -> ConnectionAction.CLOSE
                        else -> ConnectionAction.KEEP
                    }
                }
            }
        }

    val questions: Int get() = upstream.requests.value.count { it.line.startsWith("GET $PROCESS_PATH ") }
    val streams: Int get() = upstream.requests.value.size - questions

    /** The process starts again with [version] and resets the connections of the one before. */
    fun restart(version: String) {
        this.version = version
        breaks = false
        processBody = "2"
    }
}

private suspend fun withInstances(
    vararg upstreams: RestartingUpstream,
    block: suspend GatewaySite.() -> Unit,
) = withContext(Dispatchers.IO) {
    val times = GatewayTimes(1.hours, stopLimit = 5.hours, registryInterval = REGISTRY_INTERVAL)
    GatewaySite(emptyList(), platform = FakePlatform(processQuery), times = times).use { site ->
        upstreams.forEachIndexed { index, one -> site.add("i-$index", one.upstream, version = one.version) }
        eventually { site.isReady() shouldBe true }
        delay(REGISTRY_INTERVAL * 4)
        site.block()
        upstreams.forEach { it.upstream.close() }
    }
}

class RestartedInstanceTest :
    FunSpec({
        test("a stream is not resumed at an instance that has started again at another version, its row late") {
            val instance = RestartingUpstream("v1", breaks = true)
            withInstances(instance) {
                begin("b1") shouldBe "v1"
                instance.restart("v2")
                val answer = resume("b1", "b1-2")
                withClue(answer) {
                    answer shouldNotContain "data: v2"
                    answer shouldStartWith "HTTP/1.1 503"
                    answer shouldContain "\"ran\":\"not run\""
                    answer shouldContain "Retry-After: "
                }
            }
        }

        test("streams of a version go on at another instance of it when one has started again at another version") {
            val restarted = RestartingUpstream("v1")
            val other = RestartingUpstream("v1")
            listOf(restarted, other).forEach { it.closesAfterStreams = true }
            withInstances(restarted, other) {
                val begun = (1..20).map { "b$it" }.onEach { call(RESUMED, id = it) shouldContain "data: v1" }
                restarted.streams shouldBeGreaterThan 0
                restarted.restart("v2")
                begun.forEach { id ->
                    val answer = resume(id, "$id-2")
                    withClue(answer) {
                        answer shouldContain "id: $LAST_EVENT\n"
                        answer.versions() shouldBe setOf("v1")
                    }
                }
            }
        }

        // Its record would state the version of the process before.
        test("no resumable stream begins at an instance that has started again, and other requests are served there") {
            val instance = RestartingUpstream("v1")
            withInstances(instance) {
                call(RESUMED, id = "b1") shouldContain "data: v1"
                instance.restart("v2")
                // The connection of before has ended with its process.
                instance.dropsNext = true
                call(STREAM, id = "s0")
                call(RESUMED, id = "b2") shouldStartWith "HTTP/1.1 503"
                call(STREAM, id = "s1") shouldContain "data: v2"
                add("i-0", instance.upstream, version = "v2", startedAtMs = 2)
                delay(REGISTRY_INTERVAL * 4)
                call(RESUMED, id = "b3") shouldContain "data: v2"
            }
        }

        // The process of before has lost power, and its connections still look open.
        test("a kept connection to the process of before does not count against the one that is listed now") {
            val instance = RestartingUpstream("v1")
            withInstances(instance) {
                call(RESUMED, id = "b1") shouldContain "data: v1"
                instance.restart("v2")
                add("i-0", instance.upstream, version = "v2", startedAtMs = 2)
                delay(REGISTRY_INTERVAL * 4)
                (2..4).forEach { call(RESUMED, id = "b$it") shouldContain "data: v2" }
            }
        }

        test("a connection is asked once for its process") {
            val instance = RestartingUpstream("v1")
            withInstances(instance) {
                (1..10).forEach { call(RESUMED, id = "b$it") shouldContain "data: v1" }
                instance.questions shouldBe 1
            }
        }

        test("a connection that closed while it was idle does not fail the request") {
            val instance = RestartingUpstream("v1")
            withInstances(instance) {
                call(STREAM, id = "s1") shouldContain "data: v1"
                instance.dropsNext = true
                call(RESUMED, id = "b1") shouldContain "id: $LAST_EVENT\n"
            }
        }

        listOf(
            "404 Not Found" to "1",
            "200 OK" to "no number",
            "421 Misdirected Request" to "1",
        ).forEach { (status, body) ->
            test("an instance that does not state its process, $status $body, is asked once and serves by its row") {
                val instance = RestartingUpstream("v1")
                instance.processStatus = status
                instance.processBody = body
                withInstances(instance) {
                    (1..3).forEach { call(RESUMED, id = "b$it") shouldContain "id: $LAST_EVENT\n" }
                    instance.questions shouldBe 1
                }
            }
        }

        listOf("500 Error", "503 Full", "429 Full").forEach { status ->
            test("a request goes elsewhere while an instance answers $status for its process") {
                val troubled = RestartingUpstream("v1")
                val other = RestartingUpstream("v1")
                troubled.processStatus = status
                withInstances(troubled, other) {
                    (1..20).forEach { call(RESUMED, id = "b$it") shouldContain "id: $LAST_EVENT\n" }
                    troubled.streams shouldBe 0
                    troubled.questions shouldBeGreaterThan 0
                }
            }
        }

        test("a request goes elsewhere when an instance does not answer for its process") {
            val hanging = RestartingUpstream("v1")
            val other = RestartingUpstream("v1")
            hanging.hangingQuestions.set(1_000)
            withInstances(hanging, other) {
                (1..6).forEach { call(RESUMED, id = "b$it") shouldContain "id: $LAST_EVENT\n" }
                hanging.streams shouldBe 0
                hanging.questions shouldBeGreaterThan 0
            }
        }
    })
