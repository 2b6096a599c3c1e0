/*
 * Calls to a daemon's operators' listener.
 */
package io.teaselspring.ctl

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.cio.ParserException
import io.ktor.http.contentType
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import java.io.IOException
import java.net.URI
import java.nio.channels.UnresolvedAddressException
import java.nio.file.Path
import kotlin.io.path.readText

private const val CONNECT_TIMEOUT_MS = 2_000L

// Longer than the daemon's own calls to the store, with their retries.
private const val REQUEST_TIMEOUT_MS = 70_000L

/** RFC 9110, section 15. */
private val STATUSES = 100..599

/** A daemon and the operator's key for it. */
class DaemonClient(
    private val baseUrl: String,
    private val operatorKey: String?,
    private val operator: String,
) {
    fun get(path: String): JsonElement = call(HttpMethod.Get, path, null)

    fun delete(path: String): JsonElement = call(HttpMethod.Delete, path, null)

    fun post(
        path: String,
        body: JsonElement? = null,
    ): JsonElement = call(HttpMethod.Post, path, body)

    private fun call(
        method: HttpMethod,
        path: String,
        body: JsonElement?,
    ): JsonElement {
        val (status, text) =
            try {
                runBlocking { exchange(method, path, body) }
            } catch (e: IOException) {
                unreachable(e)
            } catch (e: UnresolvedAddressException) {
                unreachable(e)
            } catch (e: ParserException) {
                unreachable(e)
            } catch (e: NumberFormatException) {
                // The client library throws it for a status that is not a number.
                unreachable(e)
            }
        val answer = parse(text)
        if (status !in 200..299) failWith(status, answer, text)
        return answer
    }

    private suspend fun exchange(
        method: HttpMethod,
        path: String,
        body: JsonElement?,
    ): Pair<Int, String> =
        client().use { client ->
            val response =
                client.request {
                    url(baseUrl + path)
                    this.method = method
                    operatorKey?.let { header("Authorization", "Bearer $it") }
                    header("X-Operator", operator)
                    if (body != null) {
                        contentType(ContentType.Application.Json)
                        setBody(body.toString())
                    }
                }
            // The client library accepts any number as a status.
            if (response.status.value !in STATUSES) throw IOException("malformed status ${response.status.value}")
            response.status.value to response.bodyAsText()
        }

    private fun client() =
        HttpClient(CIO) {
            install(HttpTimeout) {
                connectTimeoutMillis = CONNECT_TIMEOUT_MS
                requestTimeoutMillis = REQUEST_TIMEOUT_MS
            }
        }

    private fun unreachable(cause: Exception): Nothing =
        fail(ExitCode.DAEMON_UNREACHABLE, "$baseUrl cannot be reached: ${cause.message ?: cause.javaClass.simpleName}")

    private fun parse(text: String): JsonElement =
        try {
            if (text.isBlank()) JsonNull else Json.parseToJsonElement(text)
        } catch (_: SerializationException) {
            JsonPrimitive(text)
        }
}

private fun failWith(
    status: Int,
    answer: JsonElement,
    text: String,
): Nothing {
    val error = (answer as? JsonObject)?.get("error") as? JsonObject
    val message = error.text("message") ?: "status $status: ${text.take(200)}"
    val problems = (error?.get("problems") as? JsonArray).orEmpty().map { problemLine(it as JsonObject) }
    val exitCode =
        when (error.text("type")) {
            "invalid" -> ExitCode.INVALID_INPUT
            "conflict" -> ExitCode.CONFLICT
            "store_unavailable" -> ExitCode.STORE_UNAVAILABLE
            else -> ExitCode.REFUSED
        }
    fail(exitCode, (listOf(message) + problems).joinToString("\n"))
}

private fun problemLine(problem: JsonObject) =
    "${problem.text("file")}: ${problem.text("path")}: found ${problem.text("value")}, " +
        "allowed is ${problem.text("allowed")}"

internal fun JsonObject?.text(name: String): String? = (this?.get(name) as? JsonPrimitive)?.contentOrNull

/** The URL of a daemon without a trailing slash, or a failure that says what is allowed. */
internal fun daemonUrl(text: String): String {
    val uri = runCatching { URI(text.removeSuffix("/")) }.getOrNull()
    if (uri?.scheme !in setOf("http", "https") || uri?.host == null) {
        fail(ExitCode.INVALID_INPUT, "--daemon: found \"$text\", allowed is an http:// or https:// URL")
    }
    return uri.toString()
}

/** The operator's key in [file], without surrounding white space. */
internal fun readOperatorKey(file: Path): String =
    try {
        file.readText().trim().ifEmpty { fail(ExitCode.INVALID_INPUT, "$file: found nothing, allowed is one key") }
    } catch (e: IOException) {
        fail(ExitCode.INVALID_INPUT, "$file: cannot be read: $e")
    }
