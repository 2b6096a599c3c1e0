/*
 * HTTP client of the platform (docs/platform-api.md), with limits on concurrency and time. Reads are retried. A write
 * is retried only if it was certainly not applied: no connection was established, or the platform responded with 503 or
 * 429. A write that times out, loses its connection or gets another 5xx is ambiguous and is not retried here.
 */
package io.teaselspring.ports

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the client. [baseUrl] has no trailing slash. [maxInFlight] bounds the concurrent calls, [readAttempts]
 * the attempts at a read, and at a write that was certainly not applied.
 */
public data class HttpPlatformSettings(
    val baseUrl: String,
    val connectTimeout: Duration = 500.milliseconds,
    val requestTimeout: Duration = 2.seconds,
    val maxInFlight: Int = 32,
    val readAttempts: Int = 3,
    val backoff: Backoff = Backoff(),
)

/** Limit of a response body. The largest object, the snapshot of the configuration, has a few MB at the design size. */
private const val MAX_BODY_BYTES = 16 * 1024 * 1024

/** The platform interfaces with the HTTP client that they share; closing it closes the client. */
public class HttpPlatform internal constructor(
    public val platform: Platform,
    private val client: HttpClient,
) : AutoCloseable {
    override fun close(): Unit = client.close()
}

/** Creates a client of the platform at the URL in [settings]. Makes no call. */
public fun httpPlatform(
    settings: HttpPlatformSettings,
    random: Random = Random.Default,
): HttpPlatform {
    val client =
        HttpClient(CIO) {
            expectSuccess = false
            engine {
                maxConnectionsCount = settings.maxInFlight
                endpoint.connectAttempts = 1
                endpoint.connectTimeout = settings.connectTimeout.inWholeMilliseconds
            }
            install(HttpTimeout) {
                connectTimeoutMillis = settings.connectTimeout.inWholeMilliseconds
                requestTimeoutMillis = settings.requestTimeout.inWholeMilliseconds
            }
        }
    val calls = HttpCalls(client, settings, random)
    return HttpPlatform(
        Platform(
            HttpTableStore(calls),
            HttpObjectStore(calls),
            HttpOrdering(calls),
            HttpUsageIntake(calls),
            HttpInstanceList(calls),
        ),
        client,
    )
}

/** A response with its complete body. */
internal class PlatformResponse(
    val status: Int,
    val eTag: String?,
    val body: ByteArray,
    val isWrite: Boolean,
)

/** Executes HTTP calls with retries and converts failures to [PlatformError]. */
internal class HttpCalls(
    private val client: HttpClient,
    private val settings: HttpPlatformSettings,
    private val random: Random,
) {
    private val inFlight = Semaphore(settings.maxInFlight)
    private val peer = settings.baseUrl

    /** Executes a read. Every failure is [PlatformError.Unavailable] and is retried. */
    suspend fun read(
        step: String,
        path: String,
        configure: HttpRequestBuilder.() -> Unit = {},
    ): Either<PlatformError, PlatformResponse> =
        retryWhileUnavailable {
            attempt(step, HttpMethod.Get, path, configure).mapLeft { PlatformError.Unavailable(step, peer, it.detail) }
        }

    /**
     * Executes a write, which is retried only if it was certainly not applied. Each attempt is sent only if [maySend]
     * returns true after the wait for a free place among the calls in flight.
     */
    suspend fun write(
        step: String,
        method: HttpMethod,
        path: String,
        maySend: () -> Boolean = { true },
        configure: HttpRequestBuilder.() -> Unit,
    ): Either<PlatformError, PlatformResponse> =
        retryWhileUnavailable { attempt(step, method, path, configure, maySend) }

    fun conflict(
        step: String,
        detail: String,
        failedIndex: Int? = null,
    ): PlatformError = PlatformError.Conflict(step, peer, detail, failedIndex)

    /** A write is ambiguous after a success that its interface does not know: it may have been applied. */
    fun unexpectedStatus(
        step: String,
        response: PlatformResponse,
    ): PlatformError {
        val detail = "status ${response.status}"
        val mayBeApplied = response.isWrite && HttpStatusCode.fromValue(response.status).isSuccess()
        return if (mayBeApplied) {
            PlatformError.Ambiguous(step, peer, detail)
        } else {
            PlatformError.Unavailable(step, peer, detail)
        }
    }

    /** A write is ambiguous if its response cannot be decoded: it was applied, but its result is unknown. */
    fun undecodableResponse(
        step: String,
        response: PlatformResponse,
        cause: Throwable,
    ): PlatformError {
        val detail = "undecodable response: ${cause.message}"
        return if (response.isWrite) {
            PlatformError.Ambiguous(step, peer, detail)
        } else {
            PlatformError.Unavailable(step, peer, detail)
        }
    }

    private suspend fun retryWhileUnavailable(
        call: suspend () -> Either<PlatformError, PlatformResponse>,
    ): Either<PlatformError, PlatformResponse> {
        repeat(settings.readAttempts - 1) { attempt ->
            val result = call()
            if (result.leftOrNull() !is PlatformError.Unavailable) return result
            delay(settings.backoff.delayAfter(attempt, random))
        }
        return call()
    }

    private suspend fun attempt(
        step: String,
        method: HttpMethod,
        path: String,
        configure: HttpRequestBuilder.() -> Unit,
        maySend: () -> Boolean = { true },
    ): Either<PlatformError, PlatformResponse> =
        inFlight
            .withPermit {
                if (!maySend()) return PlatformError.Unavailable(step, peer, "not sent: no longer permitted").left()
                Either.catch {
                    val statement =
                        client.prepareRequest {
                            url(settings.baseUrl + path)
                            this.method = method
                            configure()
                        }
                    statement.execute { it.toPlatformResponse() }
                }
            }.mapLeft { toPlatformError(step, it) }
            .flatMap { serverErrorOrNull(step, it)?.left() ?: it.right() }

    private suspend fun HttpResponse.toPlatformResponse(): PlatformResponse {
        val body = readBody(MAX_BODY_BYTES) ?: throw IOException("response body over $MAX_BODY_BYTES bytes")
        val isWrite = call.request.method != HttpMethod.Get
        val isRefusedWrite = isWrite && !status.isSuccess()
        val problem = statusProblem() ?: joinProblem(body) ?: unknownEnd().takeIf { isRefusedWrite }
        if (problem != null) throw IOException("not a whole response: $problem")
        return PlatformResponse(status.value, headers["ETag"]?.trim('"'), body, isWrite)
    }

    /** Rethrows [cause] if the calling coroutine was cancelled. */
    private fun toPlatformError(
        step: String,
        cause: Throwable,
    ): PlatformError {
        if (cause is CancellationException && !cause.isTimeout()) throw cause
        val detail = cause.message ?: cause.javaClass.simpleName
        return if (cause.isConnectFailure()) {
            PlatformError.Unavailable(step, peer, detail)
        } else {
            PlatformError.Ambiguous(step, peer, detail)
        }
    }

    /** 503 and 429 mean that the call was not executed; after any other 5xx it may have been. */
    private fun serverErrorOrNull(
        step: String,
        response: PlatformResponse,
    ): PlatformError? {
        val detail = "status ${response.status}"
        return when (response.status) {
            HttpStatusCode.ServiceUnavailable.value, HttpStatusCode.TooManyRequests.value ->
                PlatformError.Unavailable(step, peer, detail)
            in 500..599 -> PlatformError.Ambiguous(step, peer, detail)
            else -> null
        }
    }
}

internal fun HttpRequestBuilder.jsonBody(text: String) {
    headers.append("Content-Type", "application/json")
    setBody(text)
}
