/*
 * Parses the body of a chat completion request, computes the prompt prefix hash for cache affinity, and builds the body
 * that is sent to the engine.
 */
package io.teaselspring.daemon.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.ModelName
import io.teaselspring.core.decode.parseJsonOrNull
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

/** Length of the prompt prefix that is hashed for prefix affinity, in characters of its JSON text. */
private const val PREFIX_CHARS = 1024

/** A chat completion request. [stream] is true if the caller asked for events; the engine always streams. */
internal class ChatRequest(
    val model: ModelName,
    val stream: Boolean,
    val serviceTier: String?,
    private val document: JsonObject,
) {
    /** FNV-1a hash of the first [PREFIX_CHARS] characters of the messages. */
    fun prefixHash(): Long =
        document["messages"]
            .toString()
            .take(PREFIX_CHARS)
            .fold(FNV_OFFSET) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }

    /** The body for an engine: streamed, with the tier as the priority (lower is scheduled first). */
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

/** Parses the body of a chat completion request; returns a 400 refusal if it is invalid. */
internal fun parseChatRequest(body: ByteArray): Either<Refusal, ChatRequest> {
    val document = parseJsonOrNull(body.decodeToString()) as? JsonObject
    val model = document?.get("model").stringValue()
    return when {
        document == null -> invalid("the body is not a JSON object, or nested too deeply")
        model.isNullOrEmpty() -> invalid("\"model\" must be a model's name")
        document["messages"] == null -> invalid("\"messages\" is missing")
        else ->
            ChatRequest(
                ModelName(model),
                stream = (document["stream"] as? JsonPrimitive)?.booleanOrNull ?: false,
                serviceTier = document["service_tier"].stringValue(),
                document,
            ).right()
    }
}

private fun JsonElement?.stringValue() = (this as? JsonPrimitive)?.takeIf { it.isString }?.content

private fun invalid(message: String) = Refusal(400, "invalid_request_error", message).left()
