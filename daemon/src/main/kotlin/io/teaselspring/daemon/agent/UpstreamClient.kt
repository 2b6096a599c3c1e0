/*
 * Client of an agent's upstream: chat completions as server-sent events, plain requests forwarded as they are, and the
 * health check. Each request uses its own connection and closes it on cancellation, which cancels the request on the
 * engine. All go over the connections of daemon.http, which refuse a response that is joined from two.
 */
package io.teaselspring.daemon.agent

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.sse.ServerSentEvent
import io.teaselspring.daemon.http.forCaller
import io.teaselspring.protocol.Header
import io.teaselspring.protocol.Message
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
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

private val REFUSALS = setOf(HttpStatusCode.TooManyRequests.value, HttpStatusCode.ServiceUnavailable.value)

/**
 * Client of the upstream at [baseUrl]. [streamIdleTimeout] bounds the time without data. The heads of all responses are
 * passed to [statements].
 */
internal class UpstreamClient(
    baseUrl: String,
    private val streamIdleTimeout: Duration,
    connectionTimeout: Duration,
    private val statements: UpstreamStatements = UpstreamStatements(),
) : AutoCloseable {
    private val client = PlainHttpClient(baseUrl, connectionTimeout)

    override fun close() = client.close()

    /** True if the upstream responds to its health check with success within [timeout]. */
    suspend fun isHealthy(timeout: Duration): Boolean {
        val listener = statements.forHealthCheck()
        return withTimeoutOrNull(timeout) {
            client.get("/healthz").use { exchange ->
                val head = exchange.receiveHead(listener)
                if (head is PlainEvent.NotSent && head.isRefused) statements.processReplaced()
                head is PlainEvent.Head &&
                    head.status in 200..299 &&
                    exchange.receiveBody(MAX_HEALTH_BODY_BYTES) is Body.Whole
            }
        } ?: false
    }

    /** Runs a chat completion, resuming at the attempt's offset. [onToken] is called for each forwarded event. */
    suspend fun streamChat(
        attempt: Attempt,
        onToken: suspend () -> Unit,
    ): RunResult =
        mapExceptions {
            val listener = statements.forRequest()
            val headers = attempt.streamHeaders()
            client.send(attempt.submit, headers, REFUSALS::contains, statements::maySend).use { exchange ->
                val first = exchange.receiveHead(listener)
                when {
                    first is PlainEvent.NotSent -> RunResult.NotSent(first.reason)
                    first is PlainEvent.Broken -> RunResult.Broken(first.reason)
                    first !is PlainEvent.Head -> RunResult.Broken("the event stream did not begin")
                    first.startsEventStream() -> {
                        attempt.sendStarted(first)
                        exchange.relayEvents(attempt, onToken)
                    }
                    else -> exchange.handleUnstreamedResponse(attempt, first)
                }
            }
        }

    /** Forwards a plain request and its response. */
    suspend fun forward(attempt: Attempt): RunResult =
        mapExceptions {
            val listener = statements.forRequest()
            client.send(attempt.submit, maySend = statements::maySend).use { exchange ->
                var result = attempt.relay(exchange.receiveHead(listener))
                while (result == null) {
                    val event = withTimeoutOrNull(streamIdleTimeout) { exchange.next() }
                    result =
                        if (event == null) RunResult.Broken("no data for $streamIdleTimeout") else attempt.relay(event)
                }
                result
            }
        }

    /** Waits for the first part of a response. The status and headers of every response pass here to [listener]. */
    private suspend fun PlainHttpClient.PlainExchange.receiveHead(listener: ResponseListener): PlainEvent =
        next().also { if (it is PlainEvent.Head) listener(it.status, it.headers) }

    private suspend fun PlainHttpClient.PlainExchange.relayEvents(
        attempt: Attempt,
        onToken: suspend () -> Unit,
    ): RunResult {
        val reader = EventReader { next() }
        var timeout = streamIdleTimeout
        var result: RunResult? = null
        while (result == null) {
            var event: ServerSentEvent? = null
            val hasEvent = withTimeoutOrNull(timeout) { reader.next().also { event = it } != null }
            result =
                when (hasEvent) {
                    null -> RunResult.Broken("no event for $timeout")
                    false -> RunResult.Broken(reader.endReason)
                    true -> attempt.relay(checkNotNull(event))
                }
            if (result == null) onToken()
            timeout = attempt.eventTimeout()
        }
        return result
    }

    /** Event timeout: an engine this far behind its class's target has stalled, and a resume elsewhere is faster. */
    private fun Attempt.eventTimeout(): Duration =
        submit.betweenTokensTargetMs?.let {
            minOf(streamIdleTimeout, maxOf(MIN_STALL_TIMEOUT, (it * STALL_FACTOR).milliseconds))
        } ?: streamIdleTimeout

    private suspend fun PlainHttpClient.PlainExchange.handleUnstreamedResponse(
        attempt: Attempt,
        head: PlainEvent.Head,
    ): RunResult {
        val isRefusal = head.status in REFUSALS
        val isErrorOfRequest = head.status in 400..499 && attempt.nextOffset == 0L
        if (!isRefusal && !isErrorOfRequest) {
            return RunResult.Broken("the upstream answered ${head.status} instead of an event stream")
        }
        // Only the end shows that the response is whole, and that its request did not run.
        val body =
            withTimeoutOrNull(streamIdleTimeout) { receiveBody(MAX_ERROR_BODY_BYTES) }
                ?: Body.Broken("no whole error body for $streamIdleTimeout")
        return when {
            body is Body.Broken -> RunResult.Broken(body.reason)
            isRefusal -> RunResult.RefusedByUpstream(head.retryAfterMs())
            else -> {
                attempt.sendStarted(head)
                val bytes = (body as Body.Whole).bytes
                if (bytes.isNotEmpty()) attempt.sendChunk(bytes)
                RunResult.Complete
            }
        }
    }

    private suspend fun PlainHttpClient.PlainExchange.receiveBody(maxBytes: Int): Body {
        val bytes = ByteArrayOutputStream()
        while (bytes.size() <= maxBytes) {
            when (val part = next()) {
                is PlainEvent.BodyChunk -> bytes.write(part.bytes)
                PlainEvent.End -> return Body.Whole(bytes.toByteArray())
                is PlainEvent.Broken -> return Body.Broken(part.reason)
                is PlainEvent.Head, is PlainEvent.NotSent -> return Body.Broken("no body")
            }
        }
        return Body.Broken("body over $maxBytes bytes")
    }
}

/** A body that is kept in memory, or why there is none. */
private sealed interface Body {
    class Whole(
        val bytes: ByteArray,
    ) : Body

    class Broken(
        val reason: String,
    ) : Body
}

private fun Attempt.streamHeaders(): List<Header> =
    buildList {
        addAll(submit.headers.filter { it.name.lowercase() !in HEADERS_NOT_FORWARDED_FOR_STREAMS })
        add(Header(HttpHeaders.Accept, ContentType.Text.EventStream.toString()))
        add(Header(HttpHeaders.CacheControl, "no-store"))
        if (nextOffset > 0) add(Header("Last-Event-ID", (nextOffset - 1).toString()))
    }

private fun PlainEvent.Head.startsEventStream() =
    status == HttpStatusCode.OK.value &&
        header(HttpHeaders.ContentType)?.startsWith(ContentType.Text.EventStream.toString(), ignoreCase = true) == true

/** Forwards [event] of a plain response. Returns the run's result if the event is the last or the link is closed. */
private suspend fun Attempt.relay(event: PlainEvent): RunResult? =
    when (event) {
        is PlainEvent.NotSent -> RunResult.NotSent(event.reason)
        is PlainEvent.Broken -> RunResult.Broken(event.reason)
        PlainEvent.End -> RunResult.Complete
        is PlainEvent.Head -> {
            sendStarted(event)
            null
        }
        is PlainEvent.BodyChunk -> if (!sendChunk(event.bytes) && !mustRunToCompletion) RunResult.Stopped else null
    }

/** Forwards [event]. Returns the run's result if the run ends with the event. */
private suspend fun Attempt.relay(event: ServerSentEvent): RunResult? {
    val data = event.data
    return when {
        data == null -> RunResult.Broken("an event without data")
        data == DONE -> RunResult.Complete
        event.id?.toLongOrNull() != nextOffset -> RunResult.Broken("event id ${event.id} instead of $nextOffset")
        else -> {
            countTokens(data)
            if (sendChunk(data.encodeToByteArray())) null else RunResult.Stopped
        }
    }
}

private suspend fun Attempt.sendStarted(head: PlainEvent.Head) {
    if (startedSent) return
    startedSent = true
    session.link.send(Message.Started(submit.requestId, submit.attempt, head.status, head.headers.forCaller()))
}

private fun PlainEvent.Head.retryAfterMs() =
    (header(HttpHeaders.RetryAfter)?.toLongOrNull() ?: 1).coerceIn(0, 3600) * 1000

private suspend fun mapExceptions(run: suspend () -> RunResult): RunResult =
    try {
        run()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        RunResult.Broken(e.message ?: e::class.simpleName ?: "failed")
    }
