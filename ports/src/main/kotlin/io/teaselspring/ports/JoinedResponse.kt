/*
 * Finds out that a response was joined from two: a server that breaks a response off and then writes another one makes
 * a parser read one from both. The status line of the second then stands in the head of the first, or in its body.
 */
package io.teaselspring.ports

import io.ktor.client.statement.HttpResponse
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpProtocolVersion
import io.ktor.http.isSuccess
import kotlinx.serialization.json.Json

private val STATUS_LINE = Regex("HTTP/\\d(\\.\\d)? \\d{3}")

/** A line end cannot be quoted in JSON as it is. */
private val STATUS_LINE_WITH_END = Regex("HTTP/\\d(\\.\\d)? \\d{3}[^\r\n]*\r")
private val VERSIONS = setOf(HttpProtocolVersion.HTTP_1_1, HttpProtocolVersion.HTTP_1_0)
private val SINGLE_VALUED = listOf(HttpHeaders.ETag, HttpHeaders.ContentLength, HttpHeaders.ContentType)

/** Why this and [body] were not read from one response, or null. */
internal fun HttpResponse.joinProblem(body: ByteArray): String? {
    val fields = headers.entries().flatMap { (name, values) -> values + name }
    val isJson = headers[HttpHeaders.ContentType]?.startsWith(ContentType.Application.Json.toString()) == true
    // The client takes a body whose first chunk is cut for an empty one.
    val isRead = call.request.method == HttpMethod.Get && status.isSuccess()
    return when {
        version !in VERSIONS -> "protocol version $version"
        (fields + status.description).any { "HTTP/" in it && STATUS_LINE.containsMatchIn(it) } ->
            "status line inside the head"
        SINGLE_VALUED.any { headers.getAll(it).orEmpty().size > 1 } -> "more than one version, length or type"
        body.toString(Charsets.ISO_8859_1).let { "HTTP/" in it && STATUS_LINE_WITH_END.containsMatchIn(it) } ->
            "status line inside the body"
        isJson && (isRead || body.isNotEmpty()) && !body.isJson() -> "body that is not JSON"
        else -> null
    }
}

/**
 * Why this may have been continued by other bytes, or null: the client does not report a last chunk that is cut. This
 * matters where the response shows that a write was not applied.
 */
internal fun HttpResponse.unknownEnd(): String? = "no stated length".takeIf { HttpHeaders.ContentLength !in headers }

private fun ByteArray.isJson(): Boolean =
    try {
        Json.parseToJsonElement(decodeToString())
        true
    } catch (_: IllegalArgumentException) {
        false
    } catch (_: StackOverflowError) {
        false
    }
