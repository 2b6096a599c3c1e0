/*
 * Parsing of configuration files: JSON with comments and trailing commas.
 */
package io.teaselspring.core.config

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.decode.parseJsonOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

@OptIn(ExperimentalSerializationApi::class)
private val jsonWithComments =
    Json {
        allowComments = true
        allowTrailingComma = true
    }

/** Parses [text], the content of [file]; only the syntax is checked. */
public fun parseDocument(
    file: String,
    text: String,
): Either<ConfigProblem, NamedDocument> {
    var cause: String? = "nested too deeply"
    val element = parseJsonOrNull(text, jsonWithComments) { cause = it.message?.lineSequence()?.firstOrNull() }
    return when (element) {
        null -> ConfigProblem(file, "$", cause ?: "invalid JSON", "JSON with comments").left()
        is JsonObject -> NamedDocument(file, element).right()
        else -> ConfigProblem(file, "$", describe(element), "a JSON object").left()
    }
}
