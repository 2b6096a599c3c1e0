/*
 * How long a server keeps an idle connection open.
 */
package io.teaselspring.daemon.http

import io.netty.handler.codec.http.HttpResponse

private val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
private const val MILLIS_PER_S = 1000L
private const val KEEP_ALIVE_MARGIN_MS = 700L
private const val DEFAULT_IDLE_TIMEOUT_MS = 2_000L

/** Returns the idle timeout: less than the server announces, because the response took time to arrive. */
internal fun HttpResponse.idleTimeoutMs(): Long {
    val keepAlive = headers()["Keep-Alive"] ?: return DEFAULT_IDLE_TIMEOUT_MS
    val seconds =
        KEEP_ALIVE_TIMEOUT
            .find(keepAlive)
            ?.groupValues
            ?.get(1)
            ?.toLongOrNull() ?: return DEFAULT_IDLE_TIMEOUT_MS
    return seconds * MILLIS_PER_S - KEEP_ALIVE_MARGIN_MS
}
