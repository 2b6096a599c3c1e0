/*
 * Decoding of text that other systems write: a row or a response that cannot be decoded must not end its reader.
 */
package io.teaselspring.core.decode

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/**
 * Returns the result of [decode], or null if the text is malformed, holds a number out of range, or is nested so deeply
 * that the parser, which is recursive, runs out of stack. [onFailure] gets the cause.
 */
public fun <T : Any> decodeOrNull(
    onFailure: (Throwable) -> Unit = {},
    decode: () -> T?,
): T? =
    try {
        decode()
    } catch (e: IllegalArgumentException) {
        // SerializationException is a subclass.
        onFailure(e)
        null
    } catch (e: IllegalStateException) {
        onFailure(e)
        null
    } catch (e: ArithmeticException) {
        onFailure(e)
        null
    } catch (e: StackOverflowError) {
        onFailure(e)
        null
    }

/**
 * Parses [text]; null if it is no JSON or nested deeper than [MAX_NESTING], so that recursion on the result is safe.
 * [onFailure] gets the cause of the first.
 */
public fun parseJsonOrNull(
    text: String,
    json: Json = Json,
    onFailure: (Throwable) -> Unit = {},
): JsonElement? = decodeOrNull(onFailure) { json.parseToJsonElement(text).takeIf { it.isNestedWithin(MAX_NESTING) } }

private fun JsonElement.isNestedWithin(levels: Int): Boolean =
    levels > 0 &&
        when (this) {
            is JsonArray -> all { it.isNestedWithin(levels - 1) }
            is JsonObject -> values.all { it.isNestedWithin(levels - 1) }
            else -> true
        }

/** Deeper than the documents that people and programs write, and far from the end of a thread's stack. */
private const val MAX_NESTING = 200
