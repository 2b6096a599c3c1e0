/*
 * Guards against an agent that passes on a response which is joined from two: its upstream breaks off what it writes at
 * any byte and goes on with another response. The entry gets a part of the first response and an error, or the whole of
 * it, and "not run" only for a refusal. The number of splices of each kind and the seed are the system properties
 * `splice.count` and `splice.seed`.
 */
package io.teaselspring.daemon.agent

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteChannel
import io.teaselspring.daemon.gateway.ConnectionAction
import io.teaselspring.daemon.gateway.RawFraming
import io.teaselspring.daemon.gateway.RawResponse
import io.teaselspring.daemon.gateway.ScriptedUpstream
import io.teaselspring.daemon.link.Link
import io.teaselspring.daemon.link.LinkLimits
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.RequestKind
import io.teaselspring.protocol.readMessage
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.lang.reflect.Proxy
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val JSON = "application/json"
private val events = listOf("one", "two", "three").eventStream()
private val bodies =
    listOf(
        RawResponse("success", "200 OK", "{\"a\": \"the whole body,\n and some more of it\"}", type = JSON),
        RawResponse("failure", "500 Internal Server Error", "{\"error\": \"failed\"}", type = JSON),
        RawResponse("error", "400 Bad Request", "{\"error\": \"of this request\"}", type = JSON),
        RawResponse("refusal", "503 Service Unavailable", "full, come back later", type = "text/plain"),
        RawResponse("events", "200 OK", events),
        RawResponse("text", "200 OK", "a line\nand more of them", type = "text/plain"),
    )
private val others = bodies + RawResponse("other events", "200 OK", listOf("un", "deux").eventStream())

private fun List<String>.eventStream() =
    withIndex().joinToString("") { (id, data) -> "id: $id\ndata: $data\n\n" } + "data: [DONE]\n\n"

/** The first [cut] bytes of [before] and, after [pauseMs], the whole of [after]. */
private data class UpstreamSplice(
    val kind: RequestKind,
    val before: RawResponse,
    val cut: Int,
    val after: RawResponse,
    val pauseMs: Long,
) {
    private val expected = if (kind == RequestKind.CHAT && before.name == "events") "onetwothree" else before.body

    /** Why an agent may not end its run with [result] after it has passed on [started] and [data], or null. */
    fun problemOf(
        result: RunResult,
        started: Message.Started?,
        data: String,
    ): String? =
        when {
            started != null && !before.status.startsWith("${started.status} ") -> "status ${started.status}"
            started?.headers.orEmpty().any { "HTTP/" in it.name || "HTTP/" in it.value } -> "malformed header"
            !expected.startsWith(data) -> "foreign bytes"
            result is RunResult.Complete -> "not whole".takeUnless { data == expected }
            result is RunResult.RefusedByUpstream ->
                "not run".takeUnless { before.name == "refusal" && after.name == "refusal" }
            else -> "not sent".takeUnless { result is RunResult.Broken }
        }
}

/** A body of text may quote a head, unless that states the request's id. */
private fun Random.upstreamSplice(kind: RequestKind): UpstreamSplice {
    val framing = RawFraming.entries.random(this)
    val before = bodies.random(this).copy(framing = framing, echoesId = nextBoolean())
    val isRefusal = kind == RequestKind.CHAT && before.name == "refusal"
    val mayQuote = before.type == "text/plain" && !isRefusal
    val after =
        others
            .random(
                this,
            ).copy(framing = RawFraming.entries.random(this), echoesId = mayQuote || nextBoolean())
    return UpstreamSplice(kind, before, nextInt(1, before.bytes("r1").size), after, listOf(0L, 5L).random(this))
}

class SplicedUpstreamTest :
    FunSpec({
        val count = System.getProperty("splice.count")?.toInt() ?: 600
        val seed = System.getProperty("splice.seed")?.toInt() ?: 1

        RequestKind.entries.forEach { kind ->
            test(
                "a response that its upstream breaks off and continues with another one is not completed by it: $kind",
            ) {
                val random = Random(seed)
                var splice = random.upstreamSplice(kind)
                val upstream =
                    ScriptedUpstream { request, output ->
                        val id = request.header("X-Request-Id") ?: "r1"
                        output.write(splice.before.bytes(id), 0, splice.cut)
                        output.flush()
                        if (splice.pauseMs > 0) Thread.sleep(splice.pauseMs)
                        output.write(splice.after.bytes(id))
                        ConnectionAction.CLOSE
                    }
                val problems = mutableListOf<Pair<String, UpstreamSplice>>()
                upstream.use {
                    UpstreamClient("http://${upstream.address}", 500.milliseconds, 1.seconds).use { client ->
                        repeat(count) {
                            splice = random.upstreamSplice(kind)
                            client.problemOf(splice)?.let { problem -> problems += problem to splice }
                        }
                    }
                }
                val counts = problems.groupingBy { it.first }.eachCount()
                withClue("${problems.size} of $count: $counts") { problems.shouldBeEmpty() }
            }
        }
    })

private suspend fun UpstreamClient.problemOf(splice: UpstreamSplice): String? =
    withContext(Dispatchers.IO) {
        val isSound = splice.before.status.startsWith("200")
        if (!isSound && isHealthy(500.milliseconds)) return@withContext "healthy"
        val link = Link(entry(), LinkLimits(idle = 1.hours))
        val attempt = Attempt(EntrySession(link), submit().copy(kind = splice.kind))
        var result: RunResult = RunResult.Stopped
        val messages =
            link.messagesOf {
                result = if (splice.kind == RequestKind.CHAT) streamChat(attempt) {} else forward(attempt)
            }
        val data = messages.filterIsInstance<Message.Chunk>().joinToString("") { it.bytes.decodeToString() }
        splice.problemOf(result, messages.firstNotNullOfOrNull { it as? Message.Started }, data)
    }

/** The messages that [run] sends on this link. */
private suspend fun Link.messagesOf(run: suspend () -> Unit): List<Message> =
    coroutineScope {
        val output = ByteChannel()
        val socket = Proxy.newProxyInstance(javaClass.classLoader, arrayOf(Socket::class.java)) { _, _, _ -> null }
        val running = launch { run(socket as Socket, ByteChannel(), output) { Message.Versions(0, 0, 0) } }
        run()
        send(Message.Goodbye)
        val messages = mutableListOf<Message>()
        while (messages.lastOrNull() != Message.Goodbye) messages += output.readMessage()
        running.cancelAndJoin()
        messages
    }
