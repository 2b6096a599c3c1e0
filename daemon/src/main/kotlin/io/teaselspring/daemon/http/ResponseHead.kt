/*
 * Checks that a head is the head of one response: a server that breaks a response off and then writes another one makes
 * a parser read one head from both. Wherever the first one breaks off, the status line of the second then stands in its
 * status line, in the name of a header, which the decoder refuses, or in a value.
 */
package io.teaselspring.daemon.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion

private val STATUS_LINE = Regex("HTTP/\\d(\\.\\d)? \\d{3}")
private val VERSIONS = setOf(HttpVersion.HTTP_1_1, HttpVersion.HTTP_1_0)
private val SINGLE_VALUED = listOf(HttpHeaderNames.CONTENT_LENGTH, HttpHeaderNames.CONTENT_TYPE)

/** Why this is not the head of one response, whose id stands in [idHeader], or null if it is. */
internal fun HttpResponse.headProblem(idHeader: String?): String? =
    when {
        protocolVersion() !in VERSIONS -> "protocol version ${protocolVersion()}"
        status().reasonPhrase().hasStatusLine() -> "status line inside the reason phrase"
        idHeader != null && headers().getAll(idHeader).size > 1 -> "more than one $idHeader"
        SINGLE_VALUED.any { headers().getAll(it).size > 1 } -> "more than one length or type"
        else -> headers().statusLineProblem()
    }

/** Why these headers or trailers were not read from one response, or null. */
internal fun HttpHeaders.statusLineProblem(): String? {
    iteratorCharSequence().forEach { (name, value) ->
        if (value.hasStatusLine()) return "status line inside the header $name"
    }
    return null
}

private fun CharSequence.hasStatusLine() = contains("HTTP/") && STATUS_LINE.containsMatchIn(this)
