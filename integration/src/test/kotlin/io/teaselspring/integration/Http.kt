/*
 * HTTP as callers, operators and checkers use it, over the JDK's client.
 */
package io.teaselspring.integration

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

private const val STREAM_LIMIT_S = 60L

private val client: HttpClient =
    HttpClient
        .newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(5))
        .build()

/** A response with its body as text; [status] is 0 when the connection failed. */
data class Response(
    val status: Int,
    val body: String,
    val headers: Map<String, List<String>> = emptyMap(),
) {
    val json: JsonElement get() = Json.parseToJsonElement(body)

    /** The field `ran` of an error, or null. */
    val ran: String?
        get() = runCatching { json["error"]["ran"].text }.getOrNull()
}

private fun request(
    method: String,
    url: String,
    body: String?,
    headers: Map<String, String>,
): HttpRequest {
    val publisher =
        if (body == null) HttpRequest.BodyPublishers.noBody() else HttpRequest.BodyPublishers.ofString(body)
    val builder = HttpRequest.newBuilder(URI(url)).method(method, publisher).timeout(Duration.ofSeconds(60))
    headers.forEach { (name, value) -> builder.header(name, value) }
    return builder.build()
}

/** Sends a request and waits for the whole response; a failed connection gives status 0. */
fun send(
    method: String,
    url: String,
    body: String? = null,
    headers: Map<String, String> = emptyMap(),
): Response =
    try {
        val response = client.send(request(method, url, body, headers), HttpResponse.BodyHandlers.ofString())
        Response(response.statusCode(), response.body(), response.headers().map())
    } catch (e: IOException) {
        Response(0, e.toString())
    }

/** Sends a request in the background. */
fun sendAsync(
    method: String,
    url: String,
    body: String? = null,
    headers: Map<String, String> = emptyMap(),
): CompletableFuture<Response> = CompletableFuture.supplyAsync { send(method, url, body, headers) }

/** A stream of server-sent events that is read in the background. */
class EventStream(
    url: String,
    body: String,
    headers: Map<String, String>,
) {
    /** Lines received so far. */
    val lines: MutableList<String> = CopyOnWriteArrayList()

    /** The status and whether the connection failed, at the end; fails after a limit, so that no test hangs. */
    val end: CompletableFuture<Pair<Int, IOException?>> =
        CompletableFuture
            .supplyAsync {
                try {
                    val response =
                        client.send(request("POST", url, body, headers), HttpResponse.BodyHandlers.ofLines())
                    try {
                        response.body().forEach(lines::add)
                        response.statusCode() to null
                    } catch (e: java.io.UncheckedIOException) {
                        response.statusCode() to e.cause
                    }
                } catch (e: IOException) {
                    0 to e
                }
            }.orTimeout(STREAM_LIMIT_S, TimeUnit.SECONDS)

    /** The `data:` lines. */
    val data: List<String> get() = lines.filter { it.startsWith("data: ") }.map { it.removePrefix("data: ") }

    /** Whether the stream ended in the way that tells the caller that the response is whole. */
    val isWhole: Boolean get() = data.lastOrNull() == "[DONE]"

    /** Whether the caller was told that the response is not whole. */
    val hasError: Boolean get() = lines.any { "\"error\"" in it }
}

/** An element of an object that must be there. */
operator fun JsonElement.get(name: String): JsonElement = jsonObject.getValue(name)

/** The text of a primitive. */
val JsonElement.text: String get() = jsonPrimitive.content

/** The elements of the array [name]. */
fun JsonElement.list(name: String): List<JsonElement> = this[name].jsonArray
