/*
 * A caller's request, buffered whole, and the interfaces between its execution and its connection.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.teaselspring.core.OrganisationId

/** A caller's request to an agentless entry. [memory] is the share of the entry's budget that [body] takes. */
internal class IncomingRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteBuf,
    private val memory: ByteBudget.Share,
) {
    /** Frees the body; called when the request has ended. */
    fun release() {
        body.release()
        memory.release()
    }

    /** The organisation whose memory the request takes, by its key when its head arrived. */
    val organisation: OrganisationId? get() = memory.organisation

    /** Whether the caller asks for the rest of a stream after an event that it has. */
    val isResumption: Boolean get() = !headers[LAST_EVENT_ID].isNullOrBlank()

    val host: String get() = headers["Host"].orEmpty().substringBefore(':').lowercase()

    val path: String get() = uri.substringBefore('?')
}

/** Writes the response to one request to the caller's connection. */
internal interface ResponseWriter {
    /** Begins a streamed response. */
    fun writeHead(
        status: HttpResponseStatus,
        headers: HttpHeaders,
    )

    /** Writes a chunk of a streamed body; takes ownership of [chunk], which [memory] counts until it is sent. */
    fun writeBody(
        chunk: ByteBuf,
        memory: StreamShare,
    )

    /** Completes a streamed response. */
    fun end()

    /**
     * Sends a whole response; takes ownership of [body]. Calls [onWritten] once it is written or its caller is gone.
     */
    fun respond(
        status: HttpResponseStatus,
        headers: HttpHeaders,
        body: ByteBuf,
        onWritten: () -> Unit = {},
    )

    /** Closes the connection without completing the response, so that the caller sees it as truncated. */
    fun abort()
}

/** Events of the caller's connection that concern the request in progress. */
internal interface RequestHandle {
    /** The caller has closed the connection. */
    fun callerDisconnected()

    /** The process ends before the request: it has to be responded to now. */
    fun entryStopped()

    /** The caller's connection accepts more data again, or its write buffer is full (backpressure). */
    fun writabilityChanged(isWritable: Boolean)
}
