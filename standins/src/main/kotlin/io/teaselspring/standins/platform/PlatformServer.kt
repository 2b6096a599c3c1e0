/*
 * The platform's HTTP interface. Faults act in front of every call that a process of the system makes; the calls of
 * launchers and checkers (faults, journal, the machine side of the instance list) always work.
 */
package io.teaselspring.standins.platform

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.plugins.BadRequestException
import io.ktor.server.request.header
import io.ktor.server.request.receive
import io.ktor.server.response.respondBytes
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import io.teaselspring.standins.Reply
import io.teaselspring.standins.error
import io.teaselspring.standins.json
import io.teaselspring.standins.receiveJson
import io.teaselspring.standins.respond
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put
import org.slf4j.LoggerFactory
import java.nio.ByteBuffer
import java.security.MessageDigest
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("platform")

private const val MAX_ROWS = 1_000

@Serializable
private data class Transaction(
    val writes: List<WriteRequest>,
)

/** Serves [state]. */
internal fun Application.platform(state: PlatformState) {
    routing {
        tableRoutes(state)
        objectRoutes(state)
        orderRoutes(state)
        instanceRoutes(state)
        checkerRoutes(state)
    }
}

private fun Route.tableRoutes(state: PlatformState) {
    get("/tables/{table}/{key...}") {
        val key = call.key()
        state.read(call) {
            val row = tables.get(call.table(), key)
            val known = call.request.header(HttpHeaders.IfNoneMatch)
            when {
                row == null -> error(HttpStatusCode.NotFound, "no such row")
                known != null && matches(known, row.version) -> Reply(HttpStatusCode.NotModified, null, row.version)
                else -> Reply(HttpStatusCode.OK, row.value, row.version)
            }
        }
    }
    put("/tables/{table}/{key...}") {
        val write = Write(call.table(), call.key(), call.receiveJson<JsonElement>(), call.condition())
        if (write.value is JsonNull) throw BadRequestException("a row's value is not null")
        state.write(call, ofStore = true) {
            when (val outcome = tables.write(listOf(write))) {
                is Outcome.Refused -> error(HttpStatusCode.PreconditionFailed, "the condition does not hold")
                is Outcome.Written -> written(outcome.versions.single())
            }
        }
    }
    get("/tables/{table}") {
        val query = call.request.queryParameters
        val limit = query["limit"]?.let { it.toIntOrNull() ?: throw BadRequestException("limit is not a number") }
        state.read(call) {
            val rows =
                tables.scan(
                    table = call.table(),
                    prefix = query["prefix"].orEmpty(),
                    after = query["after"],
                    limit = (limit ?: MAX_ROWS).coerceIn(1, MAX_ROWS),
                )
            Reply(HttpStatusCode.OK, json.encodeToJsonElement(rows))
        }
    }
    post("/transactions") {
        val writes = call.receiveJson<Transaction>().writes.map { it.toWrite() }
        state.write(call, ofStore = true) {
            when (val outcome = tables.write(writes)) {
                is Outcome.Refused ->
                    Reply(HttpStatusCode.Conflict, buildJsonObject { put("failed", outcome.index) })
                is Outcome.Written ->
                    Reply(
                        HttpStatusCode.OK,
                        buildJsonObject { put("versions", json.encodeToJsonElement(outcome.versions)) },
                    )
            }
        }
    }
}

private fun written(version: Long) =
    Reply(if (version == 1L) HttpStatusCode.Created else HttpStatusCode.OK, JsonObject(emptyMap()), version)

private fun Route.objectRoutes(state: PlatformState) {
    get("/objects/{key...}") {
        val key = call.key()
        if (!state.reached(call)) return@get
        delay(state.locked { faults.delayMs })
        val bytes = state.locked { objects[key] }
        if (bytes == null) {
            call.respond(error(HttpStatusCode.NotFound, "no such object"))
        } else {
            call.respondBytes(bytes, ContentType.Application.OctetStream)
        }
    }
    put("/objects/{key...}") {
        val key = call.key()
        val bytes = call.receive<ByteArray>()
        state.write(call, ofStore = true) {
            val before = objects.put(key, bytes)
            Reply(if (before == null) HttpStatusCode.Created else HttpStatusCode.OK, JsonObject(emptyMap()))
        }
    }
}

private fun Route.orderRoutes(state: PlatformState) {
    post("/orders") {
        val body = call.receiveJson<JsonObject>()
        val order = body.decode<Order>()
        if (order.action != "scale") throw BadRequestException("unknown action ${order.action}")
        state.write(call, ofStore = false) {
            val result = receivers.receive(order)
            journal.add("order", result.name.lowercase(), body)
            log.info(
                "event=order result={} data_centre={} upstream={} epoch={} number={} count={} holder={}",
                result.name.lowercase(),
                order.dataCentre,
                order.upstream,
                order.epoch,
                order.number,
                order.count,
                order.holder,
            )
            when (result) {
                OrderResult.STALE_EPOCH ->
                    Reply(HttpStatusCode.Conflict, buildJsonObject { put("epoch", receivers.epoch(order)) })
                else ->
                    Reply(HttpStatusCode.OK, buildJsonObject { put("applied", result == OrderResult.APPLIED) })
            }
        }
    }
    post("/usage-reports") {
        val body = call.receiveJson<JsonObject>()
        val report = body.decode<UsageReport>()
        state.write(call, ofStore = false) {
            journal.add("usage_report", "accepted", body)
            log.info("event=usage_report window={} epoch={} holder={}", report.window, report.epoch, report.holder)
            Reply(HttpStatusCode.OK, JsonObject(emptyMap()))
        }
    }
}

/** A version that changes with [content]: the first eight bytes of its SHA-256. */
private fun versionOf(content: String): Long =
    ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(content.encodeToByteArray())).long

private fun Route.instanceRoutes(state: PlatformState) {
    get("/instances") {
        state.read(call) {
            val seen = instances.at(settings.lagMs.milliseconds).values.sortedBy { it.instance }
            val body = json.encodeToJsonElement(Instances(seen))
            val version = versionOf(body.toString())
            val isKnown = call.request.headers[HttpHeaders.IfNoneMatch] == "\"$version\""
            if (isKnown) {
                Reply(
                    HttpStatusCode.NotModified,
                    version = version,
                )
            } else {
                Reply(HttpStatusCode.OK, body, version)
            }
        }
    }
    put("/instances/{instance}") {
        val id = call.parameters["instance"].orEmpty()
        val instance = call.receiveJson<Instance>().copy(instance = id)
        state.locked { instances.record(instances.latest + (id to instance)) }
        log.info("event=instance instance={} state={}", id, instance.state.name.lowercase())
        call.respond(Reply(HttpStatusCode.OK, json.encodeToJsonElement(instance)))
    }
    delete("/instances/{instance}") {
        val id = call.parameters["instance"].orEmpty()
        state.locked { instances.record(instances.latest - id) }
        log.info("event=instance instance={} state=removed", id)
        call.respond(Reply(HttpStatusCode.NoContent))
    }
}

private fun Route.checkerRoutes(state: PlatformState) {
    post("/faults") {
        val faults = call.receiveJson<PlatformFaults>()
        state.locked { this.faults = faults }
        log.info("event=faults faults={}", json.encodeToString(faults))
        call.respond(Reply(HttpStatusCode.OK, json.encodeToJsonElement(faults)))
    }
    get("/journal") {
        val entries = state.locked { journal.all() }
        call.respond(Reply(HttpStatusCode.OK, buildJsonObject { put("entries", json.encodeToJsonElement(entries)) }))
    }
}
