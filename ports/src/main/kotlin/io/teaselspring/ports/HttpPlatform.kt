/*
 * The platform over HTTP (docs/platform-api.md). Calls are bounded in number and time. Reads are retried; a write is
 * retried here only if the connection was never made, because any other failure leaves open whether it was applied.
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
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the client. [baseUrl] has no trailing slash. [maxInFlight] bounds the calls under way, [readAttempts] the
 * tries of a read and of a write that could not connect.
 */
public data class HttpPlatformSettings(
    val baseUrl: String,
    val connectTimeout: Duration = 500.milliseconds,
    val requestTimeout: Duration = 2.seconds,
    val maxInFlight: Int = 32,
    val readAttempts: Int = 3,
    val backoff: Backoff = Backoff(),
)

/** A platform client that can be closed. */
public class HttpPlatform internal constructor(
    public val platform: Platform,
    private val client: HttpClient,
) : AutoCloseable {
    override fun close(): Unit = client.close()
}

/** Connects the platform interfaces to the service at the settings' URL; no call is made yet. */
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

/** A whole response. */
internal class PlatformResponse(
    val status: Int,
    val eTag: String?,
    val body: ByteArray,
    val isWrite: Boolean,
)

/** Makes single calls and turns their failures into [PlatformError]. */
internal class HttpCalls(
    private val client: HttpClient,
    private val settings: HttpPlatformSettings,
    private val random: Random,
) {
    private val inFlight = Semaphore(settings.maxInFlight)
    private val peer = settings.baseUrl

    /** A read: every failure means "unavailable", and it is retried. */
    suspend fun read(
        step: String,
        path: String,
        configure: HttpRequestBuilder.() -> Unit = {},
    ): Either<PlatformError, PlatformResponse> =
        retrying {
            attempt(step, HttpMethod.Get, path, configure).mapLeft { PlatformError.Unavailable(step, peer, it.detail) }
        }

    /** A write: retried only while it has certainly not been applied. */
    suspend fun write(
        step: String,
        method: HttpMethod,
        path: String,
        configure: HttpRequestBuilder.() -> Unit,
    ): Either<PlatformError, PlatformResponse> = retrying { attempt(step, method, path, configure) }

    fun conflict(
        step: String,
        detail: String,
        failedIndex: Int? = null,
    ): PlatformError = PlatformError.Conflict(step, peer, detail, failedIndex)

    fun unexpected(
        step: String,
        response: PlatformResponse,
    ): PlatformError = PlatformError.Unavailable(step, peer, "status ${response.status}")

    /** A write whose success cannot be decoded has been applied, but its result is not known. */
    fun undecodable(
        step: String,
        response: PlatformResponse,
        cause: Throwable,
    ): PlatformError {
        val detail = "undecodable answer: ${cause.message}"
        return if (response.isWrite) {
            PlatformError.Ambiguous(step, peer, detail)
        } else {
            PlatformError.Unavailable(step, peer, detail)
        }
    }

    private suspend fun retrying(
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
    ): Either<PlatformError, PlatformResponse> =
        inFlight
            .withPermit {
                Either.catch {
                    val response =
                        client.request {
                            url(settings.baseUrl + path)
                            this.method = method
                            configure()
                        }
                    response.toPlatformResponse()
                }
            }.mapLeft { failure(step, it) }
            .flatMap { serverFailure(step, it)?.left() ?: it.right() }

    private suspend fun HttpResponse.toPlatformResponse() =
        PlatformResponse(
            status.value,
            headers["ETag"]?.trim('"'),
            bodyAsBytes(),
            isWrite = call.request.method != HttpMethod.Get,
        )

    private fun failure(
        step: String,
        cause: Throwable,
    ): PlatformError {
        if (cause is CancellationException && !cause.isTimeout()) throw cause
        val detail = cause.message ?: cause.javaClass.simpleName
        return if (cause.isBeforeSending()) {
            PlatformError.Unavailable(step, peer, detail)
        } else {
            PlatformError.Ambiguous(step, peer, detail)
        }
    }

    /** 503 and 429 say that the call was not handled; other server errors leave that open. */
    private fun serverFailure(
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
