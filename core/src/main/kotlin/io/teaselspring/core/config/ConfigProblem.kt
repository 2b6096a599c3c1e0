/*
 * Validation errors in configuration documents, as operators see them.
 */
package io.teaselspring.core.config

import kotlinx.serialization.Serializable

/** One validation error: [value] was found in [file] at the JSON path [path]; [allowed] describes the valid values. */
@Serializable
public data class ConfigProblem(
    val file: String,
    val path: String,
    val value: String,
    val allowed: String,
) {
    override fun toString(): String = "$file: $path: found $value, allowed is $allowed"
}

/** A configuration document and the name by which problems refer to it. */
public data class NamedDocument(
    val file: String,
    val document: kotlinx.serialization.json.JsonObject,
)
