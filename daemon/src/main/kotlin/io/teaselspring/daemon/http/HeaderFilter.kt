/*
 * Filters the headers that the proxy forwards: removes hop-by-hop headers and the caller's credentials. The entry and
 * the agent both apply the filter, so that a fault in only one of them doesn't expose a caller's key to an upstream.
 */
package io.teaselspring.daemon.http

import io.ktor.http.Headers
import io.teaselspring.protocol.Header

/** Header that carries the request id, to upstreams and to callers. */
const val REQUEST_ID_HEADER = "X-Request-Id"

private val CREDENTIAL_HEADERS = setOf("authorization", "x-api-key", "proxy-authorization")

/** Lower-case names of the hop-by-hop headers, which apply to a single connection and are not forwarded. */
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

/** Lower-case names of headers that the HTTP client or server sets anew for each message that it sends. */
private val PER_MESSAGE_HEADERS = setOf("host", "content-length", "expect")

/** Returns one list element per header value. */
fun Headers.toHeaderList(): List<Header> = entries().flatMap { (name, values) -> values.map { Header(name, it) } }

/** Returns the headers of a caller's request to forward to an upstream, without credentials and hop-by-hop headers. */
fun List<Header>.forUpstream(): List<Header> = endToEnd().filter { it.name.lowercase() !in CREDENTIAL_HEADERS }

/** Returns the headers of an upstream's response to forward to the caller, without its request id. */
fun List<Header>.forCaller(): List<Header> = endToEnd().filter { !it.name.equals(REQUEST_ID_HEADER, ignoreCase = true) }

private fun List<Header>.endToEnd(): List<Header> {
    // The Connection header names further hop-by-hop headers.
    val namedByConnection =
        filter { it.name.equals("connection", ignoreCase = true) }
            .flatMap { header -> header.value.split(',').map { it.trim().lowercase() } }
    return filter {
        it.name.lowercase().let { name ->
            name !in HOP_BY_HOP &&
                name !in PER_MESSAGE_HEADERS &&
                name !in namedByConnection
        }
    }
}
