/*
 * The engine's HTTP interface. A request whose connection closes is cancelled, whether it waits or runs.
 */
package io.teaselspring.standins.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.plugins.BadRequestException
import io.ktor.server.request.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeStringUtf8
import io.teaselspring.standins.Reply
import io.teaselspring.standins.cutConnection
import io.teaselspring.standins.error
import io.teaselspring.standins.json
import io.teaselspring.standins.receiveJson
import io.teaselspring.standins.respond
import io.teaselspring.standins.whileConnected
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put
import org.slf4j.LoggerFactory
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val log = LoggerFactory.getLogger("engine")

/** Callers may send any field of the chat-completions interface. */
private val lenient = Json { ignoreUnknownKeys = true }

/** What one engine holds; [crash] ends the process. */
internal class Engine(
    val settings: EngineSettings,
    val clock: Clock,
    timeSource: TimeSource.WithComparableMarks,
    val crash: () -> Unit,
) {
    val runner = BatchRunner(settings, timeSource)
    val journal = EngineJournal()
}

/** Serves [engine] and runs its batch. */
internal fun Application.engine(engine: Engine) {
    launch { engine.runner.run() }
    routing {
        post("/v1/chat/completions") {
            val request = call.receiveJson<ChatRequest>(lenient)
            call.whileConnected { engine.complete(call, request) }
        }
        get("/load") {
            call.respond(Reply(HttpStatusCode.OK, json.encodeToJsonElement(engine.runner.reportedLoad())))
        }
        get("/healthz") { call.respond(Reply(HttpStatusCode.OK, buildJsonObject { put("status", "serving") })) }
        get("/journal") {
            call.respond(Reply(HttpStatusCode.OK, json.encodeToJsonElement(engine.journal.page())))
        }
        post("/faults") {
            val faults = call.receiveJson<EngineFaults>()
            if (faults.speedPct <= 0) throw BadRequestException("speed_pct is not positive")
            log.info("event=faults faults={}", json.encodeToString(faults))
            if (faults.crash) engine.crash()
            engine.runner.faults.value = faults
            call.respond(Reply(HttpStatusCode.OK, json.encodeToJsonElement(faults)))
        }
    }
}

private suspend fun Engine.complete(
    call: ApplicationCall,
    request: ChatRequest,
) {
    val lastEvent = call.request.header("Last-Event-ID")
    val firstEvent =
        if (lastEvent == null) 0 else lastEvent.toIntOrNull()?.plus(1) ?: throw BadRequestException("bad Last-Event-ID")
    if (request.maxTokens != null && request.maxTokens < 1) throw BadRequestException("max_tokens is not positive")
    val entry =
        journal.open { seq ->
            EngineJournalEntry(
                seq = seq,
                receivedAtMs = clock.now().toEpochMilliseconds(),
                requestId = call.request.header("X-Request-Id"),
                headers =
                    call.request.headers
                        .entries()
                        .associate { (name, values) -> name to values.joinToString() },
                model = request.model,
                priority = request.priority,
                firstEvent = firstEvent,
            )
        }
    if (request.model in settings.models) {
        generate(call, request, entry)
    } else {
        journal.close(entry.copy(outcome = "refused"))
        call.respond(error(HttpStatusCode.NotFound, "no such model"))
    }
}

private suspend fun Engine.generate(
    call: ApplicationCall,
    request: ChatRequest,
    entry: EngineJournalEntry,
) {
    val completion = Completion(request)
    val tokens = Channel<Int>(Channel.UNLIMITED)
    val job = BatchJob(completion, request.priority, if (request.stream) entry.firstEvent else 0) { tokens.trySend(it) }
    var outcome = "cancelled"
    var sent = 0
    try {
        if (job.firstToken < completion.length) runner.submit(job)
        if (request.stream) {
            call.respondBytesWriter(ContentType.Text.EventStream) {
                for (index in entry.firstEvent..completion.length) {
                    if (runner.faults.value.cutAfterEvents == sent) {
                        outcome = "cut"
                        // Lets the events already flushed reach the socket before it closes.
                        delay(20.milliseconds)
                        call.cutConnection()
                    }
                    if (index < completion.length) tokens.receive()
                    writeStringUtf8("id: $index\ndata: ${completion.event(index)}\n\n")
                    flush()
                    sent++
                }
                writeStringUtf8("data: [DONE]\n\n")
                flush()
            }
        } else {
            repeat(completion.length) { tokens.receive() }
            call.respond(Reply(HttpStatusCode.OK, completion.response()))
        }
        outcome = "completed"
    } finally {
        runner.cancel(job)
        log.info("event=request request_id={} outcome={} events_sent={}", entry.requestId, outcome, sent)
        journal.close(
            entry.copy(
                outcome = outcome,
                eventsSent = sent,
                promptTokens = completion.promptTokens,
                cachedTokens = job.cachedTokens,
            ),
        )
    }
}
