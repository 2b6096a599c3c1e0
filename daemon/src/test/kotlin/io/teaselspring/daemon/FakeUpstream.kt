package io.teaselspring.daemon

import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.application.serverConfig
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.netty.Netty
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeStringUtf8
import io.teaselspring.daemon.http.boundAddress
import io.teaselspring.daemon.http.portOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.MutableStateFlow
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/**
 * An engine and plain service in one, for tests: what it does is set by its fields. It is served by Netty, because
 * Ktor's CIO server cancels some calls with `Connection: close`, which the agent's client sends.
 */
class FakeUpstream {
    class Seen(
        val uri: String,
        val headers: Headers,
        val body: String,
    )

    val seen = CopyOnWriteArrayList<Seen>()
    val active = MutableStateFlow(0)
    val plainRuns = AtomicInteger()

    /** Number of tokens of each stream. */
    var tokens = 5

    /** Streams end before the event with this id. */
    var cutBefore: Int? = null

    /** While set, each stream waits for it before the event with id [holdBefore]. */
    @Volatile
    var gate: CompletableDeferred<Unit>? = null
    var holdBefore = 1

    /** While set, each plain call waits for it before it answers. */
    @Volatile
    var plainGate: CompletableDeferred<Unit>? = null

    lateinit var url: String
        private set
    private lateinit var server: EmbeddedServer<*, *>

    suspend fun start(): FakeUpstream {
        server =
            embeddedServer(
                Netty,
                serverConfig {
                    module {
                        install(HttpRequestLifecycle) { cancelCallOnClose = true }
                        routing {
                            get("/healthz") { call.respondText("ok") }
                            post("/v1/chat/completions") { chat(call) }
                            route("/{path...}") { handle { plain(call) } }
                        }
                    }
                },
            ) {
                connector {
                    host = "127.0.0.1"
                    port = 0
                }
            }
        server.startSuspend(wait = false)
        url = "http://127.0.0.1:${portOf(server.boundAddress())}"
        return this
    }

    suspend fun stop() = server.stopSuspend(0, 0)

    private suspend fun record(call: ApplicationCall): Seen =
        // The server reuses the memory of the headers after the call, so they are copied.
        Seen(
            call.request.uri,
            Headers.build { appendAll(call.request.headers) },
            call.receiveText(),
        ).also { seen += it }

    private suspend fun chat(call: ApplicationCall) {
        val request = record(call)
        if ("\"bad\"" in request.body) {
            call.respondText("{\"error\":\"bad\"}", ContentType.Application.Json, HttpStatusCode.BadRequest)
            return
        }
        val topic = Regex("\"content\":\"(\\w+)\"").find(request.body)!!.groupValues[1]
        val first = request.headers["Last-Event-ID"]?.let { it.toInt() + 1 } ?: 0
        active.value += 1
        try {
            call.respondBytesWriter(ContentType.Text.EventStream) {
                for (id in first..tokens) {
                    // A clean end of the response: a reset would also drop events that were sent before it.
                    if (id == cutBefore) return@respondBytesWriter
                    if (id == holdBefore) gate?.await()
                    val usage =
                        if (id ==
                            tokens
                        ) {
                            ",\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":$tokens}"
                        } else {
                            ""
                        }
                    val delta = if (id == tokens) "" else "\"content\":\"$topic$id \""
                    writeStringUtf8("id: $id\ndata: {\"choices\":[{\"index\":0,\"delta\":{$delta}}]$usage}\n\n")
                    flush()
                }
                writeStringUtf8("data: [DONE]\n\n")
            }
        } finally {
            active.value -= 1
        }
    }

    private suspend fun plain(call: ApplicationCall) {
        record(call)
        plainGate?.await()
        val run = plainRuns.incrementAndGet()
        call.response.headers.append("X-Plain", "yes")
        call.respondText("{\"run\":$run}", ContentType.Application.Json, HttpStatusCode.Created)
    }
}
