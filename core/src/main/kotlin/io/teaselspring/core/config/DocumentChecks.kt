/*
 * Validation combinators for values in a configuration document. A check takes a JSON path, the value there and a
 * callback that receives the errors. Checks are composed of other checks, so that the schema reads as one table.
 */
package io.teaselspring.core.config

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

private const val MAX_DESCRIBED_CHARS = 80
private const val ABSENT = "nothing"

/** Receives a validation error: the path, the value found and what is allowed. */
internal typealias ReportError = (path: String, value: String, allowed: String) -> Unit

/** Checks the value at a path; a null value stands for an absent field. */
internal typealias Check = (path: String, value: JsonElement?, report: ReportError) -> Unit

internal fun describe(value: JsonElement?): String = value?.toString()?.take(MAX_DESCRIBED_CHARS) ?: ABSENT

/** Valid entity names; limited to these characters because they appear in paths, row keys and metric labels. */
internal val ENTITY_NAME: Regex = Regex("[a-z0-9][a-z0-9._-]{0,62}")
internal const val ENTITY_NAME_ALLOWED: String = "1 to 63 of a-z, 0-9, '.', '_', '-', the first a letter or digit"

internal fun integer(range: LongRange): Check =
    { path, value, report ->
        val number = (value as? JsonPrimitive)?.takeUnless { it.isString }?.longOrNull
        if (number == null || number !in range) {
            report(path, describe(value), "a whole number from ${range.first} to ${range.last}")
        }
    }

internal fun milliseconds(range: LongRange): Check =
    { path, value, report ->
        integer(range)(path, value) { at, found, allowed -> report(at, found, "$allowed, in milliseconds") }
    }

internal fun decimal(range: ClosedFloatingPointRange<Double>): Check =
    { path, value, report ->
        val number = (value as? JsonPrimitive)?.takeUnless { it.isString }?.doubleOrNull
        if (number == null || number !in range) {
            report(path, describe(value), "a number from ${range.start} to ${range.endInclusive}")
        }
    }

internal val boolean: Check = { path, value, report ->
    if ((value as? JsonPrimitive)?.takeUnless { it.isString }?.booleanOrNull == null) {
        report(path, describe(value), "true or false")
    }
}

internal fun text(
    allowed: String,
    valid: (String) -> Boolean,
): Check =
    { path, value, report ->
        val content = (value as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (content == null || !valid(content)) report(path, describe(value), allowed)
    }

internal fun oneOf(vararg names: String): Check = text(names.joinToString(" or ") { "\"$it\"" }) { it in names }

internal fun listOf(item: Check): Check =
    { path, value, report ->
        if (value is JsonArray) {
            value.forEachIndexed { index, element -> item("$path[$index]", element, report) }
        } else {
            report(path, describe(value), "a list")
        }
    }

internal fun mapOfNamed(item: Check): Check =
    { path, value, report ->
        if (value is JsonObject) {
            value.forEach { (name, element) ->
                if (!name.matches(ENTITY_NAME)) report("$path.$name", "the name \"$name\"", ENTITY_NAME_ALLOWED)
                item("$path.$name", element, report)
            }
        } else {
            report(path, describe(value), "a JSON object")
        }
    }

/** A field that may be absent or null. */
internal fun optional(check: Check): Check =
    { path, value, report -> if (value != null && value !is JsonNull) check(path, value, report) }

/** An object with exactly these fields; each check decides whether its field may be absent. */
internal fun fields(vararg known: Pair<String, Check>): Check {
    val checks = known.toMap()
    return { path, value, report ->
        if (value is JsonObject) {
            checks.forEach { (name, check) -> check("$path.$name", value[name], report) }
            (value.keys - checks.keys).forEach { name ->
                val found = "an unknown field with ${describe(value[name])}"
                report("$path.$name", found, allowedInstead(name, checks.keys))
            }
        } else {
            report(path, describe(value), "a JSON object")
        }
    }
}

private val UNITS = kotlin.collections.listOf("_ms", "_s", "_seconds", "_minutes", "_bytes", "_kb", "_mb", "_pct")

private fun allowedInstead(
    unknown: String,
    known: Set<String>,
): String =
    known.firstOrNull { it.withoutUnit() == unknown.withoutUnit() }?.let { "\"$it\", in that unit" }
        ?: known.joinToString()

private fun String.withoutUnit() = UNITS.firstOrNull { endsWith(it) }?.let { removeSuffix(it) } ?: this
