/*
 * Sends a request only to the process that it is meant for. The registry may still list a process whose address its
 * successor has taken over. A server that states when its process started is asked on the connection that the request
 * will use, since a connection leads to one process for as long as it is open.
 */
package io.teaselspring.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How a server states its process: it answers `GET` [uri], and [startedAtMsOf] reads the start of the process from the
 * body, in Unix milliseconds, null if the body does not state it. No answer within [limit] counts as a failure.
 */
class ProcessQuery(
    val uri: String,
    val limit: Duration = 700.milliseconds,
    val startedAtMsOf: (body: String) -> Long?,
)

/** The process that started at [startedAtMs], Unix milliseconds, and the [query] that tells it from others. */
internal class ExpectedProcess(
    val startedAtMs: Long,
    val query: ProcessQuery,
)

/**
 * An exchange that sends [request] on a connection to [expected]. A server that does not state its process gets it on
 * any connection.
 */
internal class CheckedExchange(
    private val server: ServerConnections,
    private val request: OutgoingRequest,
    private val expected: ExpectedProcess,
    private val listener: ExchangeListener,
) : Exchange {
    private var asking: Exchange? = null
    private var started: Exchange? = null
    private var isCancelled = false

    override val isSent: Boolean get() = started != null

    /** Takes an idle connection to the process if there is one, else any idle one, else a new one. */
    fun start() {
        val idle = server.takeIdle { it.processStartedAtMs == expected.startedAtMs }
        if (idle != null) return useConnection(idle, isNew = false)
        server.open(
            onConnected = { if (isCancelled) it.close() else useConnection(it, isNew = true) },
            onFailed = { if (!isCancelled) listener.connectFailed(it) },
        )
    }

    private fun useConnection(
        connection: HttpConnection,
        isNew: Boolean,
    ) {
        when (connection.processStartedAtMs) {
            null -> ask(connection, isNew)
            expected.startedAtMs -> begin(connection)
            else -> {
                // Left open by a process of before, which may have lost power.
                connection.close()
                start()
            }
        }
    }

    private fun begin(connection: HttpConnection) {
        if (request.maySend()) {
            started = connection.start(request, listener)
        } else {
            server.release(connection)
            listener.notSent(NO_LONGER_PERMITTED)
        }
    }

    private fun sendToAny() {
        started = server.send(request.forAnyProcess(), listener)
    }

    private fun ask(
        connection: HttpConnection,
        isNew: Boolean,
    ) {
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.HOST, server.address)
        val answer = Answer(connection, isNew)
        asking = connection.start(OutgoingRequest(HttpMethod.GET, expected.query.uri, headers), answer)
        server.schedule(expected.query.limit, answer::timedOut)
    }

    override fun cancel() {
        isCancelled = true
        asking?.cancel()
        started?.cancel()
    }

    override fun setReading(isWanted: Boolean) {
        started?.setReading(isWanted)
    }

    override fun fail(reason: String) {
        started?.fail(reason)
    }

    override fun expectRefusal() {
        started?.expectRefusal()
    }

    /** The answer on [connection] to the question which process the server is. */
    private inner class Answer(
        private val connection: HttpConnection,
        private val isNew: Boolean,
    ) : ExchangeListener {
        private var status: HttpResponseStatus? = null
        private val body = ByteArrayOutputStream()
        private var isOver = false

        override fun head(response: HttpResponse) {
            status = response.status()
        }

        override fun body(piece: ByteBuf) {
            piece.getBytes(piece.readerIndex(), body, piece.readableBytes())
            if (body.size() > MAX_BUFFERED_BODY_BYTES) asking?.fail("body over $MAX_BUFFERED_BODY_BYTES bytes")
        }

        override fun end() {
            isOver = true
            if (isCancelled) return
            val startedAtMs = expected.query.startedAtMsOf(body.toString(Charsets.UTF_8))
            val code = checkNotNull(status)
            when {
                // A server in trouble, which may state its process at another time.
                code == HttpResponseStatus.TOO_MANY_REQUESTS || code.codeClass() == HttpStatusClass.SERVER_ERROR ->
                    listener.notSent("status ${code.code()} instead of the state of the process")
                code != HttpResponseStatus.OK || startedAtMs == null -> {
                    listener.processUnstated()
                    sendToAny()
                }
                startedAtMs != expected.startedAtMs -> {
                    connection.close()
                    listener.otherProcess(startedAtMs)
                }
                else -> {
                    connection.processStartedAtMs = startedAtMs
                    when {
                        server.takeBack(connection) -> begin(connection)
                        // A server may close each connection after it has answered.
                        isNew -> sendToAny()
                        else -> start()
                    }
                }
            }
        }

        override fun notSent(reason: String) = ended(reason)

        override fun broken(reason: String) = ended(reason)

        /** The server may have closed a connection while it was idle. */
        private fun ended(reason: String) {
            isOver = true
            when {
                isCancelled -> {}
                isNew -> listener.notSent("state of the process unknown: $reason")
                else -> start()
            }
        }

        fun timedOut() {
            if (isOver || isCancelled) return
            isOver = true
            asking?.cancel()
            listener.notSent("state of the process unknown: no answer within ${expected.query.limit}")
        }
    }
}
