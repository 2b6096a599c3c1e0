/*
 * Writes responses and errors to callers: server-sent events, one JSON object, or the bytes of the upstream.
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

/** Thrown to close the connection to a caller that read no data for too long, or whose response is incomplete. */
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

/** Responds with a buffered response. */
internal suspend fun ApplicationCall.respondStored(response: StoredResponse) {
    respondBytes(response.body, appendUpstreamHeaders(response.headers), HttpStatusCode.fromValue(response.status))
}

/**
 * Streams [parts], which follow [head], to the caller; as server-sent events with [asEvents].
 * Returns null if the response was complete, else the error that ended it.
 *
 * @throws ResponseAborted if the caller read no data for [idleTimeout], or a pass-through response ended early.
 */
internal suspend fun ApplicationCall.respondParts(
    head: ResponsePart.Head,
    parts: ReceiveChannel<ResponsePart>,
    asEvents: Boolean,
    id: RequestId,
    idleTimeout: Duration,
): Refusal? {
    val status = HttpStatusCode.fromValue(head.status)
    if (asEvents) response.header(HttpHeaders.CacheControl, "no-store")
    val contentType = if (asEvents) ContentType.Text.EventStream else appendUpstreamHeaders(head.headers)
    if (head.hasNoBody(this)) {
        for (part in parts) if (part is ResponsePart.Error) return part.refusal.also { refuse(it, id) }
        respond(NoBody(status))
        return null
    }
    var failure: Refusal? = null
    respondBytesWriter(contentType, status) {
        try {
            failure = if (asEvents) writeEvents(parts, id, idleTimeout) else writeBytes(parts, idleTimeout)
        } catch (e: Exception) {
            // When the writer fails, Ktor still sends the last chunk, which would make the response look complete.
            closeConnection()
            throw e
        }
    }
    return failure
}

/** Responds with one JSON object made of the events in [parts]; returns null if it was complete. */
internal suspend fun ApplicationCall.respondObject(
    parts: ReceiveChannel<ResponsePart>,
    id: RequestId,
): Refusal? {
    val completion = ChatCompletionBuilder()
    var sizeBytes = 0
    for (part in parts) {
        when (part) {
            is ResponsePart.Data -> {
                sizeBytes += part.bytes.size
                if (sizeBytes > MAX_COLLECTED_RESPONSE_BYTES) return RESPONSE_TOO_LARGE.also { refuse(it, id) }
                completion.add(part.bytes)
            }
            is ResponsePart.Error -> return part.refusal.also { refuse(it, id) }
            is ResponsePart.Head, ResponsePart.End -> Unit
        }
    }
    respondText(completion.build().toString(), ContentType.Application.Json)
    return null
}

internal val RESPONSE_TOO_LARGE =
    Refusal(502, "answer_too_large", "the answer is too large", ExecutionStatus.OUTCOME_UNKNOWN)

private fun ResponsePart.Head.hasNoBody(call: ApplicationCall) =
    call.request.httpMethod.value == "HEAD" || status == 204 || status == 304

private class NoBody(
    override val status: HttpStatusCode,
) : OutgoingContent.NoContent()

private suspend fun ByteWriteChannel.writeEvents(
    parts: ReceiveChannel<ResponsePart>,
    id: RequestId,
    idleTimeout: Duration,
): Refusal? {
    for (part in parts) {
        when (part) {
            is ResponsePart.Data -> writeWithin(idleTimeout) { writeFully(sseEvent(part.bytes)) }
            is ResponsePart.Error -> {
                writeWithin(idleTimeout) {
                    writeFully("event: error\ndata: ${part.refusal.json(id)}\n\n".encodeToByteArray())
                }
                return part.refusal
            }
            ResponsePart.End -> writeWithin(idleTimeout) { writeFully(sseEvent("[DONE]".encodeToByteArray())) }
            is ResponsePart.Head -> Unit
        }
    }
    return null
}

private fun sseEvent(data: ByteArray) = EVENT_START + data + EVENT_END

private val EVENT_START = "data: ".encodeToByteArray()
private val EVENT_END = "\n\n".encodeToByteArray()

private suspend fun ByteWriteChannel.writeBytes(
    parts: ReceiveChannel<ResponsePart>,
    idleTimeout: Duration,
): Refusal? {
    for (part in parts) {
        when (part) {
            is ResponsePart.Data -> writeWithin(idleTimeout) { writeFully(part.bytes) }
            // The status was already sent; only a closed connection tells the caller that the response is incomplete.
            is ResponsePart.Error -> throw ResponseAborted(part.refusal)
            is ResponsePart.Head, ResponsePart.End -> Unit
        }
    }
    return null
}

private suspend fun ByteWriteChannel.writeWithin(
    idleTimeout: Duration,
    write: suspend () -> Unit,
) {
    withTimeoutOrNull(idleTimeout) {
        write()
        flush()
    } ?: throw ResponseAborted(Refusal(499, "slow_caller", "the caller takes no data", ExecutionStatus.OUTCOME_UNKNOWN))
}

/** Appends [headers] of the upstream to the response, except the content type, which Ktor sets and this returns. */
private fun ApplicationCall.appendUpstreamHeaders(headers: List<Header>): ContentType? {
    var contentType: ContentType? = null
    headers.forEach { (name, value) ->
        when {
            !name.equals(HttpHeaders.ContentType, ignoreCase = true) -> response.headers.append(name, value, false)
            else -> contentType = runCatching { ContentType.parse(value) }.getOrNull()
        }
    }
    return contentType
}
