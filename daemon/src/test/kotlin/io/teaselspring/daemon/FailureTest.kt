package io.teaselspring.daemon

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.readLine
import io.teaselspring.core.Incarnation
import io.teaselspring.daemon.usage.UsageRecorder
import io.teaselspring.protocol.UsageRecord
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.CopyOnWriteArrayList

class FailureTest :
    FunSpec({
        // Before its first byte the engine's answer has no headers either, which is another path in the client.
        listOf(0, 1).forEach { eventId ->
            test("a caller that leaves before event $eventId frees the engine") {
                withSite {
                    val engine = FakeUpstream().start()
                    engine.holdBefore = eventId
                    engine.gate = CompletableDeferred()
                    agent(engine)
                    start()
                    coroutineScope {
                        val caller = launch(Dispatchers.Default) { chat("wool").bodyAsText() }
                        eventually { engine.active.value shouldBe 1 }
                        caller.cancelAndJoin()
                    }
                    withClue("requests at the entry") { eventually { entry.summary().running shouldBe 0 } }
                    withClue("requests at the engine") { eventually { engine.active.value shouldBe 0 } }
                }
            }
        }

        test("a refusal for lack of capacity says not run and when to retry") {
            withSite {
                val engine = FakeUpstream().start().apply { gate = CompletableDeferred() }
                agent(engine, maxRunning = 1, maxQueued = 0)
                start()
                coroutineScope {
                    val first = async { chat("wool").bodyAsText() }
                    eventually { engine.active.value shouldBe 1 }
                    val refused = chat("silk")
                    refused.status.value shouldBeIn listOf(429, 503)
                    refused.headers["Retry-After"].shouldNotBeNull()
                    refused.bodyAsText() shouldContain "\"ran\":\"not run\""
                    engine.gate?.complete(Unit)
                    contentOf(first.await()) shouldContain "wool4"
                }
                engine.seen shouldHaveSize 1
            }
        }

        test("a request for an upstream that is down is refused as not run") {
            withSite {
                val service = FakeUpstream().start()
                agent(service, plainService = true)
                start()
                service.stop()
                val refused = order()
                refused.status.value shouldBe 503
                refused.bodyAsText() shouldContain "\"ran\":\"not run\""
            }
        }

        test("a lost agent leaves a call that must not be repeated as outcome unknown, and it ran once") {
            withSite {
                val service = FakeUpstream().start().apply { plainGate = CompletableDeferred() }
                val first = agent(service, plainService = true)
                val second = agent(service, plainService = true)
                start()
                coroutineScope {
                    val call = async { order() }
                    eventually { service.seen shouldHaveSize 1 }
                    first.crash()
                    second.crash()
                    val response = call.await()
                    response.status.value shouldBe 502
                    response.bodyAsText() shouldContain "\"ran\":\"outcome unknown\""
                }
                service.seen shouldHaveSize 1
            }
        }

        test("a stream whose agent is lost resumes on another one and is whole") {
            withSite {
                val engines = List(2) { FakeUpstream().start().apply { gate = CompletableDeferred() } }
                val agents = engines.map { agent(it) }
                start()
                coroutineScope {
                    val call = async { chat("wool").bodyAsText() }
                    eventually { engines.sumOf { it.active.value } shouldBe 1 }
                    val lost = engines.indexOfFirst { it.active.value == 1 }
                    // The other engine has no gate to wait at, because it resumes after the held event at the latest.
                    engines[1 - lost].gate = null
                    agents[lost].crash()
                    contentOf(call.await()) shouldBe "wool0 wool1 wool2 wool3 wool4 "
                }
            }
        }

        test("a stream that an engine cuts resumes on another engine without a gap or a repeat") {
            withSite {
                val cutting = FakeUpstream().start().apply { cutBefore = 3 }
                val whole = FakeUpstream().start()
                agent(cutting)
                agent(whole)
                start()
                repeat(6) {
                    contentOf(chat("wool$it").bodyAsText()) shouldBe
                        (0..4).joinToString("") { n -> "wool$it$n " }
                }
                (cutting.seen.isNotEmpty()) shouldBe true
            }
        }

        test("a stream that cannot resume ends with an error event and without the end marker") {
            withSite {
                agent(FakeUpstream().start().apply { cutBefore = 3 })
                start()
                val text = chat("wool").bodyAsText()
                contentOf(text) shouldBe "wool0 wool1 wool2 "
                text shouldContain "event: error"
                text shouldContain "\"ran\":\"outcome unknown\""
                text shouldNotContain "[DONE]"
            }
        }

        test("a withdrawn key ends its running stream and refuses further requests") {
            withSite {
                val engine = FakeUpstream().start().apply { gate = CompletableDeferred() }
                agent(engine)
                start()
                client
                    .preparePost("$url/v1/chat/completions") {
                        header("Authorization", "Bearer $SECRET")
                        setBody("""{"model":"$MODEL","stream":true,"messages":[{"content":"wool"}]}""")
                    }.execute { response ->
                        val body = response.bodyAsChannel()
                        body.readLine()!! shouldContain "wool0"
                        config.withdraw()
                        val rest = StringBuilder()
                        while (true) rest.appendLine(body.readLine() ?: break)
                        rest.toString() shouldContain "key_withdrawn"
                        rest.toString() shouldNotContain "[DONE]"
                    }
                eventually { engine.active.value shouldBe 0 }
                chat("silk").status.value shouldBe 401
            }
        }

        test("a drained agent finishes its work, and new work goes to the other one") {
            withSite {
                val engines = List(2) { FakeUpstream().start().apply { gate = CompletableDeferred() } }
                val agents = engines.map { agent(it) }
                start()
                coroutineScope {
                    val running = async { chat("wool").bodyAsText() }
                    eventually { engines.sumOf { it.active.value } shouldBe 1 }
                    val busy = engines.indexOfFirst { it.active.value == 1 }
                    val drain = launch { agents[busy].agent.drain() }
                    eventually { entry.summary().agents.count { it.draining } shouldBe 1 }
                    engines[1 - busy].gate = null
                    repeat(4) { contentOf(chat("silk").bodyAsText()) shouldContain "silk4" }
                    engines[busy].seen shouldHaveSize 1
                    engines[busy].gate?.complete(Unit)
                    contentOf(running.await()) shouldBe "wool0 wool1 wool2 wool3 wool4 "
                    drain.join()
                }
            }
        }

        test("a drained entry finishes its running requests and refuses new ones as not run") {
            withSite {
                val engine = FakeUpstream().start().apply { gate = CompletableDeferred() }
                agent(engine)
                start()
                coroutineScope {
                    val running = async { chat("wool").bodyAsText() }
                    eventually { engine.active.value shouldBe 1 }
                    val drain = launch { entry.drain() }
                    eventually {
                        val refused = client.get("$url/v1/models")
                        refused.status.value shouldBe 503
                        refused.bodyAsText() shouldContain "\"type\":\"draining\""
                    }
                    entry.isReady shouldBe false
                    engine.gate?.complete(Unit)
                    contentOf(running.await()) shouldBe "wool0 wool1 wool2 wool3 wool4 "
                    drain.join()
                }
            }
        }

        test("a call that must not be repeated runs to its end when its entry is lost") {
            withSite {
                val service = FakeUpstream().start().apply { plainGate = CompletableDeferred() }
                agent(service, plainService = true)
                start()
                val call = CoroutineScope(Dispatchers.Default).launch { runCatching { order() } }
                eventually { service.seen shouldHaveSize 1 }
                call.cancelAndJoin()
                service.plainGate?.complete(Unit)
                eventually { service.plainRuns.get() shouldBe 1 }
            }
        }

        test("usage is recorded once for each run, with the engine's count and consecutive sequences") {
            val records = CopyOnWriteArrayList<UsageRecord>()
            val recorder =
                object : UsageRecorder {
                    override fun record(
                        entry: Incarnation,
                        record: UsageRecord,
                    ) {
                        records += record
                    }

                    override fun flushedSequence(entry: Incarnation) = 0L
                }
            withSite {
                agent(FakeUpstream().start(), usage = recorder)
                start()
                repeat(3) { chat("wool").bodyAsText() }
                records.map { Triple(it.sequence, it.promptTokens, it.completionTokens) } shouldBe
                    listOf(Triple(1L, 3L, 5L), Triple(2L, 3L, 5L), Triple(3L, 3L, 5L))
            }
        }
    })
