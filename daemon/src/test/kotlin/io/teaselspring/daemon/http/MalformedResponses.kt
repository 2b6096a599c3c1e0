/*
 * Test fixture: responses that no HTTP library would write, as each client of the daemon reads them.
 */
package io.teaselspring.daemon.http

import arrow.core.Either
import io.teaselspring.daemon.agent.PlainEvent
import io.teaselspring.daemon.agent.PlainHttpClient
import io.teaselspring.daemon.agent.submit
import io.teaselspring.daemon.gateway.ConnectionAction
import io.teaselspring.daemon.gateway.GatewayRuntime
import io.teaselspring.daemon.gateway.HttpCallFailure
import io.teaselspring.daemon.gateway.HttpCallResponse
import io.teaselspring.daemon.gateway.ScriptedUpstream
import io.teaselspring.daemon.gateway.respond
import io.teaselspring.protocol.Message
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import java.io.OutputStream
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/** An upstream that answers with the Latin-1 text that [response] returns for the id of a request, and closes. */
internal fun upstreamWriting(response: (id: String?) -> String) =
    ScriptedUpstream { request, output ->
        output.write(response(request.header(REQUEST_ID_HEADER)).toByteArray(Charsets.ISO_8859_1))
        output.flush()
        ConnectionAction.CLOSE
    }

/**
 * An upstream that keeps its connections. It writes [malformed] with the id of the request before, as a late copy, in
 * front of each response but the first on a connection.
 */
internal fun upstreamWithLateCopy(malformed: (id: String) -> String): ScriptedUpstream {
    val earlier = ConcurrentHashMap<OutputStream, String>()
    return ScriptedUpstream { request, output ->
        val before = earlier.put(output, checkNotNull(request.header(REQUEST_ID_HEADER)))
        before?.let { output.write(malformed(it).toByteArray(Charsets.ISO_8859_1)) }
        output.respond(request)
        ConnectionAction.KEEP
    }
}

/** This text with all but printable ASCII characters as \\xNN, for names of tests. */
internal fun String.visible() = map { if (it in ' '..'~') "$it" else "\\x%02x".format(it.code) }.joinToString("")

/** The events that the agents' client reports of the response of [upstream] to [request], up to the last one. */
internal suspend fun agentEvents(
    upstream: ScriptedUpstream,
    request: Message.Submit = submit(),
): List<PlainEvent> =
    withContext(Dispatchers.IO) {
        PlainHttpClient("http://${upstream.address}", 5.seconds).use { client ->
            client.send(request).use { exchange ->
                withTimeout(10.seconds) {
                    buildList {
                        do {
                            add(exchange.next())
                        } while (last() is PlainEvent.Head || last() is PlainEvent.BodyChunk)
                    }
                }
            }
        }
    }

/** What a call of the control plane with [body] makes of the response of [upstream]. */
internal suspend fun controlCall(
    upstream: ScriptedUpstream,
    body: ByteArray? = null,
): Either<HttpCallFailure, HttpCallResponse> {
    val runtime = GatewayRuntime()
    val method = if (body == null) "GET" else "POST"
    return withContext(runtime.dispatcher) { runtime.calls.call(upstream.address, method, "/api", 5.seconds, body) }
}
