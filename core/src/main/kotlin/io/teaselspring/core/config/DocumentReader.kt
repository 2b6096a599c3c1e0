/*
 * Parsing of configuration files: JSON with comments and trailing commas.
 */
package io.teaselspring.core.config

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
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
): Either<ConfigProblem, NamedDocument> =
    try {
        when (val element = jsonWithComments.parseToJsonElement(text)) {
            is JsonObject -> NamedDocument(file, element).right()
            else -> ConfigProblem(file, "$", describe(element), "a JSON object").left()
        }
    } catch (e: SerializationException) {
        val first = e.message?.lineSequence()?.firstOrNull() ?: "invalid JSON"
        ConfigProblem(file, "$", first, "JSON with comments").left()
    }
