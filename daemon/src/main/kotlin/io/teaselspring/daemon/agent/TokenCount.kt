/*
 * Counts the tokens of a chat stream. Each event counts as one token until the engine's own count arrives in the last
 * event; a stream that breaks off is charged by its events.
 */
package io.teaselspring.daemon.agent

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.longOrNull

/** Counts the event with the JSON text [data]. Only an event that mentions usage is parsed, which is the last one. */
internal fun Attempt.countTokens(data: String) {
    val usage = if ("\"usage\"" in data) usageOf(data) else null
    if (usage == null) {
        completionTokens += 1
        return
    }
    promptTokens = usage.long("prompt_tokens")
    // The engine counts from the start of the response; what came before the resume was charged by the earlier attempt.
    completionTokens = maxOf(0, usage.long("completion_tokens") - submit.resumeOffset)
}

private fun usageOf(data: String): JsonObject? =
    try {
        Json.parseToJsonElement(data).jsonObject["usage"] as? JsonObject
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }

private fun JsonObject.long(field: String) = (this[field] as? JsonPrimitive)?.longOrNull ?: 0
