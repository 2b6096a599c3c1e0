/*
 * Usage metering of a chat stream. Each event counts as one token until the last event brings the engine's own count; a
 * stream that ends early is metered by its events.
 */
package io.teaselspring.daemon.agent

import io.teaselspring.core.decode.parseJsonOrNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/** Counts the event with the JSON text [data]. Only an event that mentions usage is parsed, which is the last one. */
internal fun Attempt.countTokens(data: String) {
    val usage = if ("\"usage\"" in data) parseUsage(data) else null
    if (usage == null) {
        completionTokens += 1
        return
    }
    promptTokens = usage.longOrZero("prompt_tokens")
    // The engine counts from the start of the response; the earlier attempt has metered the tokens before the resume.
    completionTokens = maxOf(0, usage.longOrZero("completion_tokens") - submit.resumeOffset)
}

private fun parseUsage(data: String): JsonObject? = (parseJsonOrNull(data) as? JsonObject)?.get("usage") as? JsonObject

private fun JsonObject.longOrZero(field: String) = (this[field] as? JsonPrimitive)?.longOrNull ?: 0
