/*
 * Merges the streaming chunks of a chat completion into one JSON object, for callers that did not ask for a stream.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.decode.parseJsonOrNull
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonObject

/** Text fields of a delta that replace the earlier value; all others are appended to it. */
private val REPLACED_FIELDS = setOf("role", "id", "type", "name", "finish_reason")

/** Accumulates the events of one chat completion. */
internal class ChatCompletionBuilder {
    private val envelope = LinkedHashMap<String, JsonElement>()
    private val choices = sortedMapOf<Int, JsonObject>()

    /**
     * Adds one event.
     *
     * @throws IllegalArgumentException if it is not a JSON object.
     */
    fun add(event: ByteArray) {
        val chunk =
            requireNotNull(
                parseJsonOrNull(event.decodeToString()),
            ) { "not JSON, or nested too deeply" }.jsonObject
        chunk.forEach { (name, value) -> if (name != "choices" && value != JsonNull) envelope[name] = value }
        (chunk["choices"] as? JsonArray)?.forEach { addChoice(it.jsonObject) }
    }

    private fun addChoice(choice: JsonObject) {
        val index = (choice["index"] as? JsonPrimitive)?.intOrNull ?: 0
        val renamed = choice.mapKeys { (name, _) -> if (name == "delta") "message" else name }
        choices[index] = merged(choices[index] ?: JsonObject(emptyMap()), JsonObject(renamed))
    }

    /** Returns the completion merged from all events. */
    fun build(): JsonObject =
        JsonObject(
            envelope +
                mapOf(
                    "object" to JsonPrimitive("chat.completion"),
                    "choices" to JsonArray(choices.values.toList()),
                ),
        )
}

private fun merged(
    earlier: JsonObject,
    later: JsonObject,
): JsonObject {
    val result = LinkedHashMap(earlier)
    later.forEach { (name, value) ->
        val before = result[name]
        result[name] =
            when {
                value is JsonNull && before != null -> before
                before is JsonObject && value is JsonObject -> merged(before, value)
                before is JsonArray && value is JsonArray -> mergedByIndex(before, value)
                name !in REPLACED_FIELDS && before.isText() && value.isText() ->
                    JsonPrimitive((before as JsonPrimitive).content + (value as JsonPrimitive).content)
                else -> value
            }
    }
    return JsonObject(result)
}

/** Merges lists of objects by their `index` field, the form in which deltas of tool calls arrive. */
private fun mergedByIndex(
    earlier: JsonArray,
    later: JsonArray,
): JsonArray {
    val result = earlier.toMutableList()
    later.forEach { value ->
        val index = ((value as? JsonObject)?.get("index") as? JsonPrimitive)?.intOrNull
        val at = if (index == null) -1 else result.indexOfFirst { (it as? JsonObject)?.get("index") == value["index"] }
        if (at < 0) result += value else result[at] = merged(result[at] as JsonObject, value as JsonObject)
    }
    return JsonArray(result)
}

private fun JsonElement?.isText() = this is JsonPrimitive && isString
