/*
 * Addresses of HTTP listeners.
 */
package io.teaselspring.daemon.http

import io.ktor.server.engine.EmbeddedServer
import java.net.InetSocketAddress

/** The IP address in [address], "IP:port". */
fun hostOf(address: String): String = address.substringBeforeLast(':').removeSurrounding("[", "]")

/** The port in [address], "IP:port". */
fun portOf(address: String): Int = address.substringAfterLast(':').toInt()

/** The socket address that [address], "IP:port", names. */
fun socketAddressOf(address: String): InetSocketAddress = InetSocketAddress(hostOf(address), portOf(address))

/** The address that this server's first connector is bound to, "IP:port". */
suspend fun EmbeddedServer<*, *>.boundAddress(): String =
    engine.resolvedConnectors().first().let { connector ->
        val host = if (':' in connector.host) "[${connector.host}]" else connector.host
        "$host:${connector.port}"
    }
