/*
 * The plain service's HTTP interface. A call that has arrived runs to its end even if its caller has gone.
 */
package io.teaselspring.standins.service

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeFully
import io.teaselspring.standins.Reply
import io.teaselspring.standins.cutConnection
import io.teaselspring.standins.json
import io.teaselspring.standins.receiveJson
import io.teaselspring.standins.respond
import io.teaselspring.standins.whileConnected
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("service")

/** Serves [service]. */
internal fun Application.plainService(service: PlainService) {
    routing {
        get("/healthz") { call.respond(Reply(HttpStatusCode.OK, buildJsonObject { put("status", "serving") })) }
        get("/load") { call.respond(Reply(HttpStatusCode.OK, json.encodeToJsonElement(service.load()))) }
        get("/journal") { call.respond(Reply(HttpStatusCode.OK, json.encodeToJsonElement(service.journal()))) }
        post("/faults") {
            val faults = call.receiveJson<ServiceFaults>()
            log.info("event=faults faults={}", json.encodeToString(faults))
            service.faults = faults
            call.respond(Reply(HttpStatusCode.OK, json.encodeToJsonElement(faults)))
        }
        route("{...}") { handle { service.run(call) } }
    }
}

private suspend fun PlainService.run(call: ApplicationCall) {
    val body = call.receiveText()
    val faults = faults
    if (faults.hang) return call.whileConnected { awaitCancellation() }
    val executed =
        withContext(NonCancellable) {
            inSlot {
                delay(faults.delayMs + settings.workMs)
                if (faults.crashBefore) crash()
                execute(
                    requestId = call.request.header("X-Request-Id"),
                    method = call.request.httpMethod.value,
                    path = call.request.path(),
                    headers =
                        call.request.headers
                            .entries()
                            .associate { it.key to it.value.joinToString() },
                    body = body,
                )
            }
        }
    // The only trace of an execution that is left when the process crashes after it.
    log.info("event=executed request_id={} method={} path={}", executed.requestId, executed.method, executed.path)
    if (faults.crashAfter) crash()
    if (faults.cutResponse) call.cutResponse(executed) else call.respond(Reply(HttpStatusCode.OK, executed.toJson()))
}

private fun Executed.toJson() = json.encodeToJsonElement(this)

private suspend fun ApplicationCall.cutResponse(executed: Executed) {
    val bytes = executed.toJson().toString().toByteArray()
    // Chunked, because the server holds back a short body of known length until it is complete.
    respondBytesWriter(ContentType.Application.Json) {
        writeFully(bytes, 0, bytes.size / 2)
        flush()
        // Lets the first half reach the socket before it closes.
        delay(20.milliseconds)
        cutConnection()
    }
}
