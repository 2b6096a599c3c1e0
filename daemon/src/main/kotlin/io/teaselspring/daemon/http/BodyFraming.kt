/*
 * How the end of a response body is marked, which decides whether the end of its connection may be the end of the body.
 */
package io.teaselspring.daemon.http

import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil

/** Framing of a response body (RFC 9112, section 6.3). [label] is its name in logs and metrics. */
internal enum class BodyFraming(
    val label: String,
) {
    /** No body, or one of a stated length. */
    LENGTH("length"),
    CHUNKED("chunked"),

    /** The body ends with its connection, so a truncated body can look complete. */
    UNTIL_CLOSE("until_close"),
}

/** The framing of this response to a request with [method]. */
internal fun HttpResponse.bodyFraming(method: HttpMethod): BodyFraming =
    when {
        method == HttpMethod.HEAD || status().hasNoBody() -> BodyFraming.LENGTH
        HttpUtil.isTransferEncodingChunked(this) -> BodyFraming.CHUNKED
        HttpUtil.isContentLengthSet(this) -> BodyFraming.LENGTH
        else -> BodyFraming.UNTIL_CLOSE
    }

private fun HttpResponseStatus.hasNoBody() =
    this == HttpResponseStatus.NO_CONTENT || this == HttpResponseStatus.NOT_MODIFIED
