package io.teaselspring.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.readUTF8Line
import io.teaselspring.standins.engine.Batch
import io.teaselspring.standins.engine.BatchJob
import io.teaselspring.standins.engine.ChatRequest
import io.teaselspring.standins.engine.Completion
import io.teaselspring.standins.engine.Engine
import io.teaselspring.standins.engine.EngineSettings
import io.teaselspring.standins.engine.Message
import io.teaselspring.standins.engine.engine
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonPrimitive
import java.net.Socket
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private suspend fun HttpResponse.readLines(lines: MutableList<String>) {
    val channel = bodyAsChannel()
    while (true) lines += channel.readUTF8Line() ?: break
}

private const val CHAT = "/v1/chat/completions"

private fun body(
    maxTokens: Int,
    stream: Boolean = true,
    content: String = "hello",
) = """{"model": "m", "messages": [{"role": "user", "content": "$content"}], "stream": $stream,
    "max_tokens": $maxTokens, "temperature": 0.5}"""

// Guards against an engine that keeps work of callers who have gone, or whose resumed text differs.
class EngineTest :
    FunSpec({
        val client = HttpClient(CIO)
        val servers = mutableListOf<RunningServer>()

        suspend fun start(maxBatch: Int): RunningServer {
            val settings = EngineSettings(setOf("m"), baseTokenMs = 2.0, maxBatch = maxBatch, reportLagMs = 0)
            val engine = Engine(settings, Clock.System, TimeSource.Monotonic, crash = {})
            return startServer("127.0.0.1", 0) { engine(engine) }.also { servers += it }
        }

        suspend fun RunningServer.get(path: String) = client.get("http://127.0.0.1:$port$path").bodyAsText()

        suspend fun RunningServer.post(
            path: String,
            body: String,
            lastEvent: Int? = null,
        ) = client.post("http://127.0.0.1:$port$path") {
            lastEvent?.let { header("Last-Event-ID", it) }
            setBody(body)
        }

        suspend fun CoroutineScope.stream(
            server: RunningServer,
            lines: MutableList<String> = mutableListOf(),
        ): Job =
            launch {
                client.preparePost("http://127.0.0.1:${server.port}$CHAT") { setBody(body(100_000)) }.execute {
                    it.readLines(lines)
                }
            }

        afterTest {
            servers.forEach { it.stop() }
            servers.clear()
        }
        afterSpec { client.close() }

        test("a closed connection frees the slot of a running and the place of a waiting request") {
            val server = start(maxBatch = 1)
            coroutineScope {
                val running = stream(server)
                eventually(10.seconds) { server.get("/load") shouldContain "\"running\":1,\"queued\":0" }
                val waiting = stream(server)
                eventually(10.seconds) { server.get("/load") shouldContain "\"running\":1,\"queued\":1" }
                waiting.cancelAndJoin()
                eventually(10.seconds) { server.get("/load") shouldContain "\"running\":1,\"queued\":0" }
                running.cancelAndJoin()
                eventually(10.seconds) { server.get("/load") shouldContain "\"running\":0,\"queued\":0" }
            }
            Regex("\"outcome\":\"(\\w+)\"").findAll(server.get("/journal")).map { it.groupValues[1] }.toList() shouldBe
                listOf("cancelled", "cancelled")
        }

        test("callers who vanish right after the request, whatever else waits, leave nothing behind") {
            val server = start(maxBatch = 2)
            val request = body(100_000, stream = false)
            val head = "POST $CHAT HTTP/1.1\r\nHost: x\r\nContent-Length: ${request.length}\r\n\r\n$request"
            repeat(200) {
                Socket("127.0.0.1", server.port).use { socket -> socket.getOutputStream().write(head.toByteArray()) }
            }
            eventually(20.seconds) {
                Regex("\"outcome\":\"cancelled\"").findAll(server.get("/journal")).count() shouldBe 200
            }
            server.get("/load") shouldContain "\"running\":0,\"queued\":0"
        }

        test("a caller that asks to close the connection after the response gets the response") {
            val server = start(maxBatch = 2)
            repeat(20) {
                val response =
                    client.post("http://127.0.0.1:${server.port}$CHAT") {
                        header("Connection", "close")
                        setBody(body(2, stream = false))
                    }
                response.bodyAsText() shouldContain "\"total_tokens\""
            }
        }

        test("a stream cut by the engine continues with the same bytes on another") {
            val whole = start(maxBatch = 4).post(CHAT, body(20)).bodyAsText()
            val cutting = start(maxBatch = 4)
            cutting.post("/faults", """{"cut_after_events": 7}""")
            val lines = mutableListOf<String>()
            runCatching {
                client.preparePost("http://127.0.0.1:${cutting.port}$CHAT") { setBody(body(20)) }.execute {
                    it.readLines(lines)
                }
            }
            lines.count { it.startsWith("id: ") } shouldBe 7
            val rest = start(maxBatch = 4).post(CHAT, body(20), lastEvent = 6).bodyAsText()
            lines.joinToString("") { "$it\n" } + rest shouldBe whole
            whole shouldContain "\"total_tokens\""
            whole.trim().endsWith("data: [DONE]") shouldBe true
        }

        test("a hanging engine gives no tokens until the fault is lifted") {
            val server = start(maxBatch = 4)
            server.post("/faults", """{"hang": true}""")
            withTimeoutOrNull(200.milliseconds) { server.post(CHAT, body(1)) } shouldBe null
            server.post("/faults", "{}")
            server.post(CHAT, body(1)).status.value shouldBe 200
            server.post(CHAT, body(0)).status.value shouldBe 400
            server.post(CHAT, body(1).replace("\"m\"", "\"other\"")).status.value shouldBe 404
        }

        test("waiting requests start in order of priority, and a cached prefix saves prefill time") {
            val batch = Batch(EngineSettings(setOf("m"), 1.0, 1.0, 1.0, maxBatch = 1, cacheBlocks = 8))
            val served = mutableListOf<Int>()
            val text = JsonPrimitive("x".repeat(640))

            fun job(priority: Int) =
                BatchJob(Completion(ChatRequest("m", listOf(Message("user", text)), maxTokens = 1)), priority, 0) {
                    served += priority
                }
            listOf(3, 1, 2, 1).forEach { batch.submit(job(it)) }
            val steps =
                generateSequence { batch.beginStep()?.also { batch.endStep() } }.toList()
            served shouldContainExactly listOf(1, 1, 2, 3)
            // 162 tokens and the fixed 2 ms at first; later ones find the 8 blocks that fit of 10.
            steps shouldContainExactly listOf(164.0, 36.0, 36.0, 36.0)
        }
    })
