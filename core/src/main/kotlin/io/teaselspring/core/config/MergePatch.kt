/*
 * JSON Merge Patch (RFC 7396), which applies an overlay to the base.
 */
package io.teaselspring.core.config

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

/** This object with [patch] applied: members of the patch replace, null removes, objects are merged recursively. */
public fun JsonObject.mergedWith(patch: JsonObject): JsonObject {
    val result = toMutableMap<String, JsonElement>()
    patch.forEach { (name, value) ->
        when (value) {
            is JsonNull -> result.remove(name)
            is JsonObject -> result[name] = ((result[name] as? JsonObject) ?: JsonObject(emptyMap())).mergedWith(value)
            else -> result[name] = value
        }
    }
    return JsonObject(result)
}
