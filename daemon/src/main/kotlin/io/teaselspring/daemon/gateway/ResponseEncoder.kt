/*
 * HTTP/1.1 encoder of a caller's connection.
 */
package io.teaselspring.daemon.gateway

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder

/** Encodes responses; the one to a HEAD request has no body. */
internal class ResponseEncoder(
    private val isHeadRequest: () -> Boolean,
) : HttpResponseEncoder() {
    override fun isContentAlwaysEmpty(response: HttpResponse) = isHeadRequest() || super.isContentAlwaysEmpty(response)
}
