/*
 * Handles one HTTP request of a caller: API key authentication, size limits, rate limits, routing and the response.
 */
package io.teaselspring.daemon.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.utils.io.readAvailable
import io.teaselspring.core.RequestId
import io.teaselspring.core.config.MODELS_PATH
import io.teaselspring.core.config.routeOf
import io.teaselspring.daemon.config.Caller
import io.teaselspring.daemon.config.ConfigSource
import io.teaselspring.daemon.http.REQUEST_ID_HEADER
import io.teaselspring.daemon.http.toHeaderList
import io.teaselspring.daemon.settings.RequestLimits
import io.teaselspring.protocol.Header
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.ByteArrayOutputStream
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.entry")

private const val MAX_IDEMPOTENCY_KEY_CHARS = 255

/** Applies the organisation's rate limits to a request; the returned function must be called when the request ends. */
internal typealias AdmitOrganisation = (Caller?) -> Either<Refusal, () -> Unit>

/** Handles callers' requests. Requests with an idempotency key run in [scope] and outlive the caller's connection. */
internal class CallerHandler(
    private val scope: CoroutineScope,
    private val config: ConfigSource,
    private val runs: RunContext,
    private val outcomes: OutcomeStore,
    private val limits: RequestLimits,
    private val admit: AdmitOrganisation,
    private val newRequestId: () -> RequestId,
) {
    private val idleTimeout = limits.streamIdleMs.milliseconds

    /** Handles [call] and always responds to it, unless the caller's connection fails. */
    suspend fun handle(call: ApplicationCall) {
        val id = newRequestId()
        call.response.header(REQUEST_ID_HEADER, id.value)
        val headers = call.request.headers.toHeaderList()
        val caller = headers.presentedKey()?.let(config::authenticate)
        val refusal = refusalOf(call, headers, caller)
        when {
            refusal != null -> refuse(call, refusal, id)
            call.path() == MODELS_PATH && call.request.httpMethod.value == "GET" ->
                call.respondText(config.view.value.modelList(), ContentType.Application.Json)
            else ->
                read(call, id, headers)
                    .flatMap { config.view.value.route(it, caller) }
                    .flatMap { request -> admit(caller).map { request to it } }
                    .fold({ refuse(call, it, id) }) { (request, release) ->
                        try {
                            serve(call, request)
                        } finally {
                            release()
                        }
                    }
        }
    }

    private fun refusalOf(
        call: ApplicationCall,
        headers: List<Header>,
        caller: Caller?,
    ): Refusal? {
        val isOpen =
            config.view.value.site
                .routeOf(call.request.uri)
                ?.openToAll ?: false
        val headerBytes = headers.sumOf { it.name.length + it.value.length + 4 }
        return when {
            headerBytes > limits.headerBytes -> Refusal(431, "headers_too_large", "the headers are too large")
            !config.isServingAllowed() ->
                Refusal(503, "isolated", "no contact with the configuration", retryAfterMs = ISOLATED_RETRY_MS)
            caller == null && !isOpen -> Refusal(401, "invalid_api_key", "no valid key was presented")
            else -> null
        }
    }

    private suspend fun refuse(
        call: ApplicationCall,
        refusal: Refusal,
        id: RequestId,
    ) {
        log.info("event=refused request={} status={} type={}", id, refusal.status, refusal.type)
        call.refuse(refusal, id)
    }

    private suspend fun read(
        call: ApplicationCall,
        id: RequestId,
        headers: List<Header>,
    ): Either<Refusal, CallerRequest> {
        val declared = call.request.headers[HttpHeaders.ContentLength]?.toLongOrNull() ?: 0
        val body = if (declared > limits.bodyBytes) null else withTimeoutOrNull(idleTimeout) { readBody(call) }
        return when {
            declared > limits.bodyBytes || body is BodyRead.TooLarge ->
                Refusal(413, "body_too_large", "the body exceeds ${limits.bodyBytes} bytes").left()
            body is BodyRead.Complete ->
                CallerRequest(id, call.request.httpMethod.value, call.request.uri, headers, body.bytes).right()
            else -> Refusal(408, "request_timeout", "the body did not arrive in time").left()
        }
    }

    private sealed interface BodyRead {
        class Complete(
            val bytes: ByteArray,
        ) : BodyRead

        data object TooLarge : BodyRead
    }

    private suspend fun readBody(call: ApplicationCall): BodyRead {
        val channel = call.receiveChannel()
        val body = ByteArrayOutputStream()
        val buffer = ByteArray(READ_BYTES)
        while (body.size() <= limits.bodyBytes) {
            val count = channel.readAvailable(buffer)
            if (count < 0) return BodyRead.Complete(body.toByteArray())
            body.write(buffer, 0, count)
        }
        return BodyRead.TooLarge
    }

    private suspend fun serve(
        call: ApplicationCall,
        request: RoutedRequest,
    ) {
        val startMs = runs.nowMs()
        var failure: Refusal? = CALLER_DISCONNECTED
        try {
            val idempotencyKey = call.request.headers[IDEMPOTENCY_HEADER].takeIf { !request.idempotent }
            failure =
                when {
                    idempotencyKey == null -> respond(call, request)
                    idempotencyKey.length > MAX_IDEMPOTENCY_KEY_CHARS ->
                        Refusal(400, "invalid_request_error", "$IDEMPOTENCY_HEADER is too long")
                            .also { call.refuse(it, request.id) }
                    else -> respondIdempotent(call, request, idempotencyKey)
                }
        } catch (e: ResponseAborted) {
            failure = e.refusal
            throw e
        } finally {
            val durationMs = runs.nowMs() - startMs
            val status = call.response.status()?.value ?: 0
            runs.observer.onEnd(request, status, failure, durationMs)
            logEnd(request, status, failure, durationMs)
        }
    }

    private suspend fun respondIdempotent(
        call: ApplicationCall,
        request: RoutedRequest,
        idempotencyKey: String,
    ): Refusal? {
        val key = outcomeKey(request, idempotencyKey)
        return when (val collected = outcomes.runClaimed(scope, key, request.id, runs.run(request))) {
            is CollectedResponse.Complete -> {
                if (collected.isReplay) call.response.header("Idempotent-Replayed", "true")
                call.respondStored(collected.response)
                null
            }
            is CollectedResponse.Failed -> collected.refusal.also { call.refuse(it, request.id) }
        }
    }

    private suspend fun respond(
        call: ApplicationCall,
        request: RoutedRequest,
    ): Refusal? =
        coroutineScope {
            val parts = runs.run(request).buffer(Channel.RENDEZVOUS).produceIn(this)
            when (val first = parts.receive()) {
                is ResponsePart.Head -> {
                    val isStream = request.isChat && first.status == 200
                    when {
                        isStream && request.responseForm == ResponseForm.OBJECT -> call.respondObject(parts, request.id)
                        else -> call.respondParts(first, parts, isStream, request.id, idleTimeout)
                    }
                }
                is ResponsePart.Error -> first.refusal.also { call.refuse(it, request.id) }
                is ResponsePart.Data, ResponsePart.End ->
                    error("request ${request.id}: response has data or an end before its status and headers")
            }
        }
}

private const val READ_BYTES = 8 * 1024
private const val ISOLATED_RETRY_MS = 5_000L

private val CALLER_DISCONNECTED = Refusal(499, "caller_left", "the caller left", ExecutionStatus.OUTCOME_UNKNOWN)

private fun ApplicationCall.path() = request.uri.substringBefore('?')

/** Returns the API key that the caller sent as a bearer token or in `X-Api-Key`. */
private fun List<Header>.presentedKey(): String? {
    val bearer =
        firstOrNull { it.name.equals("authorization", ignoreCase = true) }
            ?.value
            ?.takeIf { it.startsWith("Bearer ", ignoreCase = true) }
            ?.drop("Bearer ".length)
    val key = bearer ?: firstOrNull { it.name.equals("x-api-key", ignoreCase = true) }?.value
    return key?.trim()?.takeIf { it.isNotEmpty() }
}

private fun logEnd(
    request: RoutedRequest,
    status: Int,
    failure: Refusal?,
    durationMs: Long,
) = log.info(
    "event=request id={} organisation={} class={} upstream={} status={} end={} ran=\"{}\" took_ms={}",
    request.id,
    request.organisation,
    request.destination.className,
    request.destination.upstream,
    status,
    failure?.type ?: "complete",
    failure?.executionStatus?.text ?: "complete",
    durationMs,
)
