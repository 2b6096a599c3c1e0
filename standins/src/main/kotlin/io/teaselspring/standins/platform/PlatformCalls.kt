/*
 * What all calls to the platform have in common: faults, lost responses, and the parts of a call.
 */
package io.teaselspring.standins.platform

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import io.ktor.server.application.ApplicationCall
import io.ktor.server.plugins.BadRequestException
import io.ktor.server.request.header
import io.ktor.server.request.path
import io.teaselspring.standins.Reply
import io.teaselspring.standins.cutConnection
import io.teaselspring.standins.error
import io.teaselspring.standins.json
import io.teaselspring.standins.respond
import io.teaselspring.standins.whileConnected
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("platform")

internal suspend fun PlatformState.read(
    call: ApplicationCall,
    block: PlatformState.() -> Reply,
) {
    if (!reached(call)) return
    delay(locked { faults.delayMs })
    call.respond(locked(block))
}

/**
 * A write that has arrived takes effect even if its caller has gone meanwhile. The response of a successful one may be
 * lost. Only writes [ofStore] are refused while the platform is read-only.
 */
internal suspend fun PlatformState.write(
    call: ApplicationCall,
    ofStore: Boolean,
    block: PlatformState.() -> Reply,
) {
    if (!reached(call)) return
    val (reply, lost) =
        withContext(NonCancellable) {
            delay(locked { faults.delayMs })
            locked {
                if (ofStore && faults.readOnly) {
                    error(HttpStatusCode.ServiceUnavailable, "the store is read-only") to false
                } else {
                    val reply = block()
                    reply to (reply.status.isSuccess() && losesResponse(call.request.path()))
                }
            }
        }
    if (lost) {
        log.info("event=response_lost path={}", call.request.path())
        call.cutConnection()
    }
    call.respond(reply)
}

/** False if the platform is out and has answered so, or has not answered until the caller went. */
internal suspend fun PlatformState.reached(call: ApplicationCall): Boolean {
    val faults = locked { faults }
    if (faults.outage && faults.hang) {
        call.whileConnected { awaitCancellation() }
    } else if (faults.outage) {
        call.respond(error(HttpStatusCode.ServiceUnavailable, "the platform is unavailable"))
    }
    return !faults.outage
}

internal fun ApplicationCall.table(): String = parameters["table"].orEmpty()

internal fun ApplicationCall.key(): String =
    parameters.getAll("key")?.singleOrNull() ?: throw BadRequestException("the key is one percent-encoded path segment")

internal inline fun <reified T> JsonObject.decode(): T =
    try {
        json.decodeFromJsonElement<T>(this)
    } catch (e: IllegalArgumentException) {
        throw BadRequestException(e.message ?: "unreadable body", e)
    }

/** The preconditions of RFC 9110, sections 13.1.1 and 13.1.2, on the version of a row. */
internal fun ApplicationCall.condition(): (Long) -> Boolean {
    val ifMatch = request.header(HttpHeaders.IfMatch)
    val ifNoneMatch = request.header(HttpHeaders.IfNoneMatch)
    return { version ->
        (ifMatch == null || matches(ifMatch, version)) && (ifNoneMatch == null || !matches(ifNoneMatch, version))
    }
}

internal fun matches(
    header: String,
    version: Long,
): Boolean = version > 0 && header.split(',').any { it.trim() == "*" || it.trim() == "\"$version\"" }
