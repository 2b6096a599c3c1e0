/*
 * Which headers cross the system. A caller's key ends at the entry; the agent filters again, so that neither a
 * fault of the entry nor one of the agent alone shows a key to an upstream.
 */
package io.teaselspring.daemon.http

import io.ktor.http.Headers
import io.teaselspring.protocol.Header

/** Header that carries the request id, to upstreams and to callers. */
const val REQUEST_ID_HEADER = "X-Request-Id"

private val KEY_HEADERS = setOf("authorization", "x-api-key", "proxy-authorization")

/** Lower-case names that concern one connection only. */
internal val HOP_BY_HOP: Set<String> =
    setOf(
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )

/** Set by the client or server that sends the message, from the message itself. */
private val PER_MESSAGE = setOf("host", "content-length", "expect")

/** These headers as a list. */
fun Headers.toHeaderList(): List<Header> = entries().flatMap { (name, values) -> values.map { Header(name, it) } }

/** The headers of a caller's request that an upstream sees: no key, nothing that is meant for this connection only. */
fun List<Header>.forUpstream(): List<Header> = endToEnd().filter { it.name.lowercase() !in KEY_HEADERS }

/** The headers of an upstream's response that the caller sees. */
fun List<Header>.forCaller(): List<Header> = endToEnd().filter { !it.name.equals(REQUEST_ID_HEADER, ignoreCase = true) }

private fun List<Header>.endToEnd(): List<Header> {
    val named =
        filter { it.name.equals("connection", ignoreCase = true) }
            .flatMap { header -> header.value.split(',').map { it.trim().lowercase() } }
    return filter { it.name.lowercase().let { name -> name !in HOP_BY_HOP && name !in PER_MESSAGE && name !in named } }
}
