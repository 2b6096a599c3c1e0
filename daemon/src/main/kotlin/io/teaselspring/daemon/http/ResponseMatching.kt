/*
 * Which request a response answers, by the id that it states, and what its body may hold.
 */
package io.teaselspring.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass

private val TYPES_WITHOUT_QUOTES = listOf("text/event-stream", "application/json")

/** Whether [head] states the id of this request; true for a request without an id. */
internal fun OutgoingRequest.isEchoedBy(head: HttpResponse) =
    requiredId == null || head.headers()[idHeader] == requiredId

/** Whether [head] may answer this request: a late copy states another id, and a success has to state one. */
internal fun OutgoingRequest.acceptsResponse(head: HttpResponse): Boolean {
    val expected = requiredId ?: return true
    val echoed = head.headers()[idHeader]
    if (echoed != null) return echoed == expected
    return head.status().codeClass() != HttpStatusClass.SUCCESS
}

/** Whether bodies of this type cannot hold the lines of a head as they are. */
internal fun HttpResponse.hasBodyWithoutQuotes(): Boolean {
    val type = headers()[HttpHeaderNames.CONTENT_TYPE] ?: return false
    return TYPES_WITHOUT_QUOTES.any { type.startsWith(it, ignoreCase = true) }
}

/** Whether the body is encoded, so that it may end with any bytes whatever its type. */
internal fun HttpResponse?.isEncoded(): Boolean = this?.headers()?.contains(HttpHeaderNames.CONTENT_ENCODING) == true

/** Whether these bytes hold [text]. */
internal fun ByteBuf.contains(text: String) =
    ByteBufUtil.indexOf(Unpooled.wrappedBuffer(text.toByteArray(Charsets.ISO_8859_1)), this) >= 0
