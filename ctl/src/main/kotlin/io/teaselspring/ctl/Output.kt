/*
 * Output as aligned columns for people or as JSON for programs.
 */
package io.teaselspring.ctl

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.time.Instant
import java.time.temporal.ChronoUnit

private val pretty = Json { prettyPrint = true }

/** [element] as indented JSON. */
internal fun prettyJson(element: JsonElement): String = pretty.encodeToString(JsonElement.serializer(), element)

/** Rows under their headings, in columns as wide as their longest cell. */
internal fun table(
    headings: List<String>,
    rows: List<List<String>>,
): String {
    val widths = headings.indices.map { column -> (rows + listOf(headings)).maxOf { it[column].length } }
    return (listOf(headings) + rows).joinToString("\n") { row ->
        row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
}

/** One value as a cell: lists are joined, times in milliseconds are shown in UTC. */
internal fun cell(
    field: String,
    value: JsonElement?,
): String =
    when {
        value == null || value is JsonNull -> "-"
        value is JsonArray -> value.joinToString(" ") { cell("", it) }
        value is JsonObject -> value.entries.joinToString(" ") { "${it.key}=${cell(it.key, it.value)}" }
        field.endsWith("_at_ms") -> utc(value as JsonPrimitive)
        else -> (value as JsonPrimitive).content
    }

private fun utc(value: JsonPrimitive) =
    value.content.toLongOrNull()?.let { Instant.ofEpochMilli(it).truncatedTo(ChronoUnit.SECONDS).toString() }
        ?: value.content

/** The entries of an object keyed by name, as a table with the given fields. */
internal fun namedTable(
    entries: JsonObject,
    fields: List<String>,
): String =
    table(
        listOf("NAME") + fields.map { it.uppercase() },
        entries.map { (name, value) -> listOf(name) + fields.map { cell(it, (value as? JsonObject)?.get(it)) } },
    )

/** The elements of a list of objects as a table with the given fields. */
internal fun listTable(
    elements: JsonArray,
    fields: List<String>,
): String =
    table(
        fields.map { it.uppercase() },
        elements.map { value -> fields.map { cell(it, (value as? JsonObject)?.get(it)) } },
    )
