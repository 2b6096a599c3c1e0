/*
 * A request as a caller sent it, read whole, and what is written back to its connection.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus

/** A request of a caller to an entry without agents. [body] is released when the request's run has ended. */
internal class IncomingRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteBuf,
) {
    val host: String get() = headers["Host"].orEmpty().substringBefore(':').lowercase()

    val path: String get() = uri.substringBefore('?')
}

/** Writes the response to one request to the caller's connection. */
internal interface ResponseWriter {
    /** Starts a response whose body follows in pieces. */
    fun head(
        status: HttpResponseStatus,
        headers: HttpHeaders,
    )

    /** A piece of the body; takes ownership of [piece]. */
    fun body(piece: ByteBuf)

    /** Ends the response. */
    fun end()

    /** Sends a whole response; takes ownership of [body]. */
    fun respond(
        status: HttpResponseStatus,
        headers: HttpHeaders,
        body: ByteBuf,
    )

    /** Closes the connection, so that a response that has begun is visibly incomplete. */
    fun abort()
}

/** What a run hears of its caller's connection. */
internal interface RequestHandle {
    /** The caller has closed the connection. */
    fun callerLeft()

    /** The caller's connection takes more data again, or takes none for now. */
    fun writabilityChanged(isWritable: Boolean)
}
