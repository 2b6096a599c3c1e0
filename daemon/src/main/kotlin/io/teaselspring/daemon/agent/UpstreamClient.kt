/*
 * Client of an agent's upstream: chat completions as server-sent events, plain requests forwarded as they are, and the
 * health check. Each request uses its own connection and closes it on cancellation, which cancels the request on the
 * engine.
 */
package io.teaselspring.daemon.agent

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.sse.ClientSSESession
import io.ktor.client.plugins.sse.SSE
import io.ktor.client.plugins.sse.SSEClientException
import io.ktor.client.plugins.sse.sse
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareGet
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.encodedPath
import io.ktor.http.isSuccess
import io.ktor.http.takeFrom
import io.ktor.sse.ServerSentEvent
import io.teaselspring.daemon.http.REQUEST_ID_HEADER
import io.teaselspring.daemon.http.forCaller
import io.teaselspring.daemon.http.forUpstream
import io.teaselspring.daemon.http.toHeaderList
import io.teaselspring.ports.readBody
import io.teaselspring.protocol.Header
import io.teaselspring.protocol.Message
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.withTimeoutOrNull
import java.net.ConnectException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val DONE = "[DONE]"

/** Event gap that counts as a stall, as a multiple of the class's target between tokens. */
private const val STALL_FACTOR = 20
private val MIN_STALL_TIMEOUT = 3.seconds

/** Limits of bodies that are read as a whole; a faulty upstream may send without end. */
private const val MAX_HEALTH_BODY_BYTES = 64 * 1024
private const val MAX_ERROR_BODY_BYTES = 256 * 1024

/** Request headers that would change the format of an event stream, or that the client sets itself. */
private val HEADERS_NOT_FORWARDED_FOR_STREAMS = setOf("accept", "accept-encoding", "cache-control")

/**
 * Client of the upstream at [baseUrl]. [streamIdleTimeout] bounds the time without data. The heads of all responses are
 * passed to [statements].
 */
internal class UpstreamClient(
    private val baseUrl: String,
    private val streamIdleTimeout: Duration,
    connectionTimeout: Duration,
    private val statements: UpstreamStatements = UpstreamStatements(),
) : AutoCloseable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            followRedirects = false
            install(SSE)
            engine {
                requestTimeout = 0
                maxConnectionsCount = 100_000
                endpoint {
                    maxConnectionsPerRoute = 100_000
                    connectTimeout = connectionTimeout.inWholeMilliseconds
                    connectAttempts = 1
                }
            }
        }

    private val plainClient = PlainHttpClient(baseUrl, connectionTimeout)

    override fun close() {
        client.close()
        plainClient.close()
    }

    /** True if the upstream responds to its health check with success within [timeout]. */
    suspend fun isHealthy(timeout: Duration): Boolean =
        try {
            val listener = statements.forHealthCheck()
            withTimeoutOrNull(timeout) {
                client.prepareGet("$baseUrl/healthz").execute {
                    listener(it)
                    it.status.isSuccess() && it.readBody(MAX_HEALTH_BODY_BYTES) != null
                }
            } ?: false
        } catch (e: CancellationException) {
            throw e
        } catch (_: ConnectTimeoutException) {
            false
        } catch (_: ConnectException) {
            statements.processReplaced()
            false
        } catch (_: Exception) {
            false
        }

    /** Runs a chat completion, resuming at the attempt's offset. [onToken] is called for each forwarded event. */
    suspend fun streamChat(
        attempt: Attempt,
        onToken: suspend () -> Unit,
    ): RunResult =
        mapExceptions {
            var execution: Job? = null
            val listener = statements.forRequest()
            try {
                var result: RunResult? = null
                client.sse(request = {
                    execution = executionContext
                    prepare(attempt.submit, HEADERS_NOT_FORWARDED_FOR_STREAMS)
                    if (attempt.nextOffset > 0) header("Last-Event-ID", (attempt.nextOffset - 1).toString())
                }) {
                    listener(call.response)
                    result = relay(attempt, onToken)
                }
                result ?: RunResult.Broken("the event stream did not begin")
            } catch (e: SSEClientException) {
                val response = e.response
                val isConnectFailure = e.cause is ConnectException
                when {
                    isConnectFailure -> RunResult.NotSent(e.cause?.message ?: "connection refused")
                    response == null -> RunResult.Broken(e.message ?: "the event stream broke off")
                    else -> handleUnstreamedResponse(attempt, response.also { listener(it) })
                }
            } finally {
                // Until the response starts, the plugin runs the request in the client's scope, which a cancellation of
                // this coroutine does not reach; the engine would continue a request that nobody waits for.
                execution?.cancel()
            }
        }

    /** Forwards a plain request and its response. */
    suspend fun forward(attempt: Attempt): RunResult {
        val listener = statements.forRequest()
        return plainClient.send(attempt.submit).use { exchange ->
            val first = exchange.next()
            if (first is PlainEvent.Head) listener(first.status, first.headers)
            var result = attempt.relay(first)
            while (result == null) {
                val event = withTimeoutOrNull(streamIdleTimeout) { exchange.next() }
                result = if (event == null) RunResult.Broken("no data for $streamIdleTimeout") else attempt.relay(event)
            }
            result
        }
    }

    private suspend fun ClientSSESession.relay(
        attempt: Attempt,
        onToken: suspend () -> Unit,
    ): RunResult =
        coroutineScope {
            attempt.sendStarted(call.response)
            val events = incoming.buffer(Channel.RENDEZVOUS).produceIn(this)
            var timeout = streamIdleTimeout
            var result: RunResult? = null
            while (result == null) {
                val event = withTimeoutOrNull(timeout) { events.receiveCatching() }
                result =
                    if (event == null) RunResult.Broken("no event for $timeout") else attempt.relay(event.getOrNull())
                if (result == null) onToken()
                timeout = attempt.eventTimeout()
            }
            events.cancel()
            result
        }

    /** Event timeout: an engine this far behind its class's target has stalled, and a resume elsewhere is faster. */
    private fun Attempt.eventTimeout(): Duration =
        submit.betweenTokensTargetMs?.let {
            minOf(streamIdleTimeout, maxOf(MIN_STALL_TIMEOUT, (it * STALL_FACTOR).milliseconds))
        } ?: streamIdleTimeout

    private suspend fun handleUnstreamedResponse(
        attempt: Attempt,
        response: HttpResponse,
    ): RunResult {
        val status = response.status
        val isRefusal = status == HttpStatusCode.TooManyRequests || status == HttpStatusCode.ServiceUnavailable
        return when {
            isRefusal -> RunResult.RefusedByUpstream(retryAfterMs(response))
            status.value in 400..499 && attempt.nextOffset == 0L -> {
                val body = response.readBody(MAX_ERROR_BODY_BYTES)
                if (body == null) {
                    RunResult.Broken("error body over $MAX_ERROR_BODY_BYTES bytes")
                } else {
                    attempt.sendStarted(response)
                    if (body.isNotEmpty()) attempt.sendChunk(body)
                    RunResult.Complete
                }
            }
            else -> RunResult.Broken("the upstream answered ${status.value} instead of an event stream")
        }
    }

    private fun HttpRequestBuilder.prepare(
        submit: Message.Submit,
        excludedHeaders: Set<String>,
    ) {
        method = HttpMethod.parse(submit.method)
        url.takeFrom(baseUrl)
        // Path and query are set together, because parsing the query would reorder repeated parameters.
        url.encodedPath = url.encodedPath.removeSuffix("/") + submit.path
        submit.headers
            .forUpstream()
            .filter { it.name.lowercase() !in excludedHeaders }
            .forEach { header(it.name, it.value) }
        headers[REQUEST_ID_HEADER] = submit.requestId.value
        if (submit.body.isNotEmpty()) setBody(submit.body)
    }
}

/** Forwards [event] of a plain response. Returns the run's result if the event is the last or the link is closed. */
private suspend fun Attempt.relay(event: PlainEvent): RunResult? =
    when (event) {
        is PlainEvent.NotSent -> RunResult.NotSent(event.reason)
        is PlainEvent.Broken -> RunResult.Broken(event.reason)
        PlainEvent.End -> RunResult.Complete
        is PlainEvent.Head -> {
            sendStarted(event.status, event.headers.forCaller())
            null
        }
        is PlainEvent.BodyChunk -> if (!sendChunk(event.bytes) && !mustRunToCompletion) RunResult.Stopped else null
    }

/** Forwards [event]; null is an early end of the stream. Returns the run's result if the run ends with the event. */
private suspend fun Attempt.relay(event: ServerSentEvent?): RunResult? {
    val data = event?.data
    return when {
        event == null -> RunResult.Broken("the event stream ended early")
        data == null -> RunResult.Broken("an event without data")
        data == DONE -> RunResult.Complete
        event.id?.toLongOrNull() != nextOffset -> RunResult.Broken("event id ${event.id} instead of $nextOffset")
        else -> {
            countTokens(data)
            if (sendChunk(data.encodeToByteArray())) null else RunResult.Stopped
        }
    }
}

private suspend operator fun ResponseListener.invoke(response: HttpResponse) =
    invoke(response.status.value, response.headers.toHeaderList())

private suspend fun Attempt.sendStarted(response: HttpResponse) =
    sendStarted(response.status.value, response.headers.toHeaderList().forCaller())

private suspend fun Attempt.sendStarted(
    status: Int,
    headers: List<Header>,
) {
    if (startedSent) return
    startedSent = true
    session.link.send(Message.Started(submit.requestId, submit.attempt, status, headers))
}

private fun retryAfterMs(response: HttpResponse) =
    (response.headers["Retry-After"]?.toLongOrNull() ?: 1).coerceIn(0, 3600) * 1000

private suspend fun mapExceptions(run: suspend () -> RunResult): RunResult =
    try {
        run()
    } catch (e: CancellationException) {
        throw e
    } catch (e: ConnectException) {
        // Thrown only while the connection is being established, so the upstream has received no byte of the request.
        RunResult.NotSent(e.message ?: "connection refused")
    } catch (e: Exception) {
        RunResult.Broken(e.message ?: e::class.simpleName ?: "failed")
    }
