/*
 * Responses that an entry generates itself, such as refusals and timeouts.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Body of a response that the entry generates; [hasNotRun] means that no instance has run the request or will. */
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

/** A `Retry-After` in seconds, with jitter so that refused callers do not retry together. */
internal fun retryAfterSeconds(random: (Int) -> Int): String =
    secondsText((RETRY_AFTER_MS + random(RETRY_AFTER_MS)).toLong())

/** [ms] in seconds, with three decimals. */
internal fun secondsText(ms: Long): String = "%d.%03d".format(ms / MILLIS_PER_S, ms % MILLIS_PER_S)

private const val RETRY_AFTER_MS = 300
private const val MILLIS_PER_S = 1000
