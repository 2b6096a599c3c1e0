/*
 * Responses that an entry gives itself: what they say to the caller.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** The body of a response of the entry itself; [hasNotRun] says that no instance has run the request or will. */
internal fun localResponseBody(
    status: HttpResponseStatus,
    reason: String,
    requestId: String,
    hasNotRun: Boolean,
): ByteBuf {
    val body =
        buildJsonObject {
            put("type", status.reasonPhrase().lowercase().replace(' ', '_'))
            put("reason", reason)
            put("request_id", requestId)
            put("ran", if (hasNotRun) "not run" else "outcome unknown")
        }
    return Unpooled.wrappedBuffer(body.toString().encodeToByteArray())
}

/** A `Retry-After` in seconds, spread so that refused callers do not come back together. */
internal fun retryAfterSeconds(random: (Int) -> Int): String {
    val ms = RETRY_AFTER_MS + random(RETRY_AFTER_MS)
    return "%d.%03d".format(ms / MILLIS_PER_S, ms % MILLIS_PER_S)
}

private const val RETRY_AFTER_MS = 300
private const val MILLIS_PER_S = 1000
