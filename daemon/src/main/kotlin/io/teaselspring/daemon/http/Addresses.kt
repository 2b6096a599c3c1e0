/*
 * Parses and formats the "IP:port" addresses of HTTP listeners. IPv6 addresses are in brackets.
 */
package io.teaselspring.daemon.http

import io.ktor.server.engine.EmbeddedServer
import java.net.InetSocketAddress

/** Returns the IP address of [address], "IP:port", without brackets. */
fun hostOf(address: String): String = address.substringBeforeLast(':').removeSurrounding("[", "]")

/** Returns the port of [address], "IP:port". */
fun portOf(address: String): Int = address.substringAfterLast(':').toInt()

/** Converts [address], "IP:port", to a socket address. */
fun socketAddressOf(address: String): InetSocketAddress = InetSocketAddress(hostOf(address), portOf(address))

/** Returns the address that the server's first connector is bound to, "IP:port". */
suspend fun EmbeddedServer<*, *>.boundAddress(): String =
    engine.resolvedConnectors().first().let { connector ->
        val host = if (':' in connector.host) "[${connector.host}]" else connector.host
        "$host:${connector.port}"
    }
