/*
 * Structural diff of two JSON documents, as lines for operators.
 */
package io.teaselspring.core.config

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/**
 * One line per difference, in the order of the paths: `+ path: value` for what only [after] has, `- path: value` for
 * what only [before] has and `~ path: old -> new`. Lists are compared as a whole.
 */
public fun diffLines(
    before: JsonElement?,
    after: JsonElement?,
    path: String = "$",
): List<String> =
    when {
        before == after -> emptyList()
        before is JsonObject && after is JsonObject ->
            (before.keys + after.keys).sorted().flatMap { diffLines(before[it], after[it], "$path.$it") }
        before == null && after is JsonObject && after.isNotEmpty() ->
            after.keys.sorted().flatMap { diffLines(null, after[it], "$path.$it") }
        after == null && before is JsonObject && before.isNotEmpty() ->
            before.keys.sorted().flatMap { diffLines(before[it], null, "$path.$it") }
        before == null -> listOf("+ $path: $after")
        after == null -> listOf("- $path: $before")
        else -> listOf("~ $path: $before -> $after")
    }
