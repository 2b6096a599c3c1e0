/*
 * Checks of a caller's request head before it is forwarded: what the entry and an instance might read differently.
 */
package io.teaselspring.daemon.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/**
 * Whether the end of the body is stated in one way, which the entry and the upstream read alike: a length, or chunks
 * without another transfer coding. Anything else can smuggle a second request past a proxy (RFC 9112, section 6.3).
 */
internal fun HttpHeaders.stateOneFraming(): Boolean {
    val codings = getAll(HttpHeaderNames.TRANSFER_ENCODING)
    if (codings.isEmpty()) return true
    val isChunked = codings.size == 1 && codings.single().trim().equals("chunked", ignoreCase = true)
    return isChunked && !contains(HttpHeaderNames.CONTENT_LENGTH)
}

/** Other bytes would be encoded again on the way, so that the upstream gets another path. */
internal fun String.isPrintableAscii() = all { it in '!'..'~' }
