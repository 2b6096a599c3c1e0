/*
 * Writes answers and errors to callers.
 */
package io.teaselspring.daemon.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import io.teaselspring.core.RequestId
import io.teaselspring.protocol.Header
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.time.Duration

/** Thrown to end the connection to a caller: it took no data for too long, or its response broke off. */
internal class ResponseAborted(
    val refusal: Refusal,
) : IOException(refusal.message)

/** Responds with [refusal]. */
internal suspend fun ApplicationCall.refuse(
    refusal: Refusal,
    id: RequestId,
) {
    refusal.retryAfterSeconds()?.let { response.header(HttpHeaders.RetryAfter, it.toString()) }
    respondText(refusal.json(id).toString(), ContentType.Application.Json, HttpStatusCode.fromValue(refusal.status))
}

/** Responds with a response that is known whole. */
internal suspend fun ApplicationCall.respondWhole(response: StoredResponse) {
    respondBytes(response.body, responseHeaders(response.headers), HttpStatusCode.fromValue(response.status))
}

/**
 * Responds with [parts] as they arrive, beginning with the one after [head]; as server-sent events with [asEvents].
 * Returns null if the response was whole, else the error that ended it.
 *
 * @throws ResponseAborted if the caller took no data for [idle], or a pass-through response broke off.
 */
internal suspend fun ApplicationCall.respondParts(
    head: ResponsePart.Head,
    parts: ReceiveChannel<ResponsePart>,
    asEvents: Boolean,
    id: RequestId,
    idle: Duration,
): Refusal? {
    val status = HttpStatusCode.fromValue(head.status)
    if (asEvents) response.header(HttpHeaders.CacheControl, "no-store")
    val contentType = if (asEvents) ContentType.Text.EventStream else responseHeaders(head.headers)
    if (head.hasNoBody(this)) {
        for (part in parts) if (part is ResponsePart.Error) return part.refusal.also { refuse(it, id) }
        respond(NoBody(status))
        return null
    }
    var failure: Refusal? = null
    respondBytesWriter(contentType, status) {
        try {
            failure = if (asEvents) writeEvents(parts, id, idle) else writeBytes(parts, idle)
        } catch (e: Exception) {
            // Ktor ends a body whose writer failed with the last chunk, which would make it a whole response.
            closeConnection()
            throw e
        }
    }
    return failure
}

/** Responds with one JSON object made of the events in [parts]; returns null if the response was whole. */
internal suspend fun ApplicationCall.respondObject(
    parts: ReceiveChannel<ResponsePart>,
    id: RequestId,
): Refusal? {
    val completion = ChatObject()
    var sizeBytes = 0
    for (part in parts) {
        when (part) {
            is ResponsePart.Data -> {
                sizeBytes += part.bytes.size
                if (sizeBytes > MAX_WHOLE_RESPONSE_BYTES) return TOO_LARGE.also { refuse(it, id) }
                completion.add(part.bytes)
            }
            is ResponsePart.Error -> return part.refusal.also { refuse(it, id) }
            is ResponsePart.Head, ResponsePart.End -> Unit
        }
    }
    respondText(completion.build().toString(), ContentType.Application.Json)
    return null
}

internal val TOO_LARGE = Refusal(502, "answer_too_large", "the answer is too large", Ran.OUTCOME_UNKNOWN)

private fun ResponsePart.Head.hasNoBody(call: ApplicationCall) =
    call.request.httpMethod.value == "HEAD" || status == 204 || status == 304

private class NoBody(
    override val status: HttpStatusCode,
) : OutgoingContent.NoContent()

private suspend fun ByteWriteChannel.writeEvents(
    parts: ReceiveChannel<ResponsePart>,
    id: RequestId,
    idle: Duration,
): Refusal? {
    for (part in parts) {
        when (part) {
            is ResponsePart.Data -> writeWithin(idle) { writeFully(event(part.bytes)) }
            is ResponsePart.Error -> {
                writeWithin(idle) { writeFully("event: error\ndata: ${part.refusal.json(id)}\n\n".encodeToByteArray()) }
                return part.refusal
            }
            ResponsePart.End -> writeWithin(idle) { writeFully(event("[DONE]".encodeToByteArray())) }
            is ResponsePart.Head -> Unit
        }
    }
    return null
}

private fun event(data: ByteArray) = EVENT_START + data + EVENT_END

private val EVENT_START = "data: ".encodeToByteArray()
private val EVENT_END = "\n\n".encodeToByteArray()

private suspend fun ByteWriteChannel.writeBytes(
    parts: ReceiveChannel<ResponsePart>,
    idle: Duration,
): Refusal? {
    for (part in parts) {
        when (part) {
            is ResponsePart.Data -> writeWithin(idle) { writeFully(part.bytes) }
            // The status has gone out; only a broken connection tells the caller that the response is not whole.
            is ResponsePart.Error -> throw ResponseAborted(part.refusal)
            is ResponsePart.Head, ResponsePart.End -> Unit
        }
    }
    return null
}

private suspend fun ByteWriteChannel.writeWithin(
    idle: Duration,
    write: suspend () -> Unit,
) {
    withTimeoutOrNull(idle) {
        write()
        flush()
    } ?: throw ResponseAborted(Refusal(499, "slow_caller", "the caller takes no data", Ran.OUTCOME_UNKNOWN))
}

/** Sets the headers of an upstream's response; returns its content type, which the server sets from the content. */
private fun ApplicationCall.responseHeaders(headers: List<Header>): ContentType? {
    var contentType: ContentType? = null
    headers.forEach { (name, value) ->
        when {
            !name.equals(HttpHeaders.ContentType, ignoreCase = true) -> response.headers.append(name, value, false)
            else -> contentType = runCatching { ContentType.parse(value) }.getOrNull()
        }
    }
    return contentType
}
