/*
 * The parts of a chat completion that the router reads, and the body as an engine gets it.
 */
package io.teaselspring.daemon.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.ModelName
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

/** Length of the start of a prompt that decides prefix affinity, in characters of its JSON text. */
private const val PREFIX_CHARS = 1024

/** A chat completion. [stream] tells whether the caller wants events; an engine always streams. */
internal class ChatRequest(
    val model: ModelName,
    val stream: Boolean,
    val serviceTier: String?,
    private val document: JsonObject,
) {
    /** Identifies the start of the prompt. */
    fun prefixHash(): Long =
        document["messages"]
            .toString()
            .take(PREFIX_CHARS)
            .fold(FNV_OFFSET) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }

    /** The body for an engine: streamed, with the tier as the engine's priority, where lower is served first. */
    fun engineBody(tier: Int): ByteArray =
        buildJsonObject {
            document.forEach { (name, value) -> if (name != "service_tier") put(name, value) }
            put("stream", true)
            putJsonObject("stream_options") { put("include_usage", true) }
            put("priority", tier)
        }.toString().encodeToByteArray()

    private companion object {
        const val FNV_OFFSET = -3750763034362895579L
        const val FNV_PRIME = 1099511628211L
    }
}

/** Reads the body of a chat completion, or says what is wrong with it. */
internal fun parseChatRequest(body: ByteArray): Either<Refusal, ChatRequest> {
    val document =
        try {
            Json.parseToJsonElement(body.decodeToString()) as? JsonObject
        } catch (_: SerializationException) {
            null
        }
    val model = document?.get("model").text()
    return when {
        document == null -> invalid("the body is not a JSON object")
        model.isNullOrEmpty() -> invalid("\"model\" must be a model's name")
        document["messages"] == null -> invalid("\"messages\" is missing")
        else ->
            ChatRequest(
                ModelName(model),
                stream = (document["stream"] as? JsonPrimitive)?.booleanOrNull ?: false,
                serviceTier = document["service_tier"].text(),
                document,
            ).right()
    }
}

private fun JsonElement?.text() = (this as? JsonPrimitive)?.takeIf { it.isString }?.content

private fun invalid(message: String) = Refusal(400, "invalid_request_error", message).left()
