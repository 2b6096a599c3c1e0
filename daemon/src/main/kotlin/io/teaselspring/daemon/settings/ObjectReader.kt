/*
 * Reads the fields of a JSON object by name and collects a fault for each one that is absent, of the wrong type,
 * out of range or unknown.
 */
package io.teaselspring.daemon.settings

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import java.net.URI
import java.net.URISyntaxException
import java.nio.file.Path

private const val ABSENT = "nothing"
private const val MAX_SHOWN_CHARS = 80
private val UNITS = listOf("_ms", "_s", "_seconds", "_minutes", "_bytes", "_kb", "_mb", "_kib", "_mib", "_pct")

/** Reads [document], which lies at the JSON path [path] of [file], and adds every fault to [errors]. */
internal class ObjectReader(
    val file: Path,
    private val path: String,
    private val document: JsonObject,
    private val errors: MutableList<SettingsError>,
) {
    private val known = linkedSetOf<String>()

    fun fault(
        field: String,
        value: String,
        allowed: String,
    ) {
        errors += SettingsError(file, "$path.$field", value, allowed)
    }

    /** The string in [field], or [otherwise] with a fault if it is absent or not [valid]. */
    fun text(
        field: String,
        allowed: String,
        otherwise: String,
        valid: (String) -> Boolean,
    ): String {
        val value = value(field)
        val text = (value as? JsonPrimitive)?.takeIf { it.isString }?.content
        return text?.takeIf(valid) ?: otherwise.also { fault(field, shown(value), allowed) }
    }

    /** The integer in [field], [otherwise] if it is absent, and a fault if it is not in [range]. */
    fun number(
        field: String,
        range: LongRange,
        otherwise: Long,
    ): Long {
        val value = value(field) ?: return otherwise
        val number = (value as? JsonPrimitive)?.takeUnless { it.isString }?.longOrNull
        return number?.takeIf { it in range } ?: otherwise.also {
            fault(field, shown(value), "an integer from ${range.first} to ${range.last}")
        }
    }

    /** The strings in [field], none if it is absent. */
    fun texts(
        field: String,
        allowed: String,
        valid: (String) -> Boolean,
    ): List<String> {
        val value = value(field) ?: return emptyList()
        val texts = (value as? JsonArray)?.map { (it as? JsonPrimitive)?.takeIf { item -> item.isString }?.content }
        texts?.forEachIndexed { index, text ->
            if (text == null || !valid(text)) fault("$field[$index]", shown(value[index]), allowed)
        }
        if (texts == null) fault(field, shown(value), allowed)
        return texts.orEmpty().filterNotNull()
    }

    /** What [read] gives for [field], or null if the field is absent. */
    fun <T> optional(
        field: String,
        read: (String) -> T,
    ): T? = if (value(field) == null) null else read(field)

    /** What [read] gives for the object in [field], or null if the field is absent. */
    fun <T> inner(
        field: String,
        read: ObjectReader.() -> T,
    ): T? =
        when (val value = value(field)) {
            null -> null
            is JsonObject -> ObjectReader(file, "$path.$field", value, errors).read()
            else -> null.also { fault(field, shown(value), "a JSON object") }
        }

    /** Adds a fault for each field that was not asked for. */
    fun refuseOthers() {
        (document.keys - known).forEach { name ->
            val sameQuantity = known.firstOrNull { it.withoutUnit() == name.withoutUnit() }
            val allowed = if (sameQuantity != null) "\"$sameQuantity\", in that unit" else known.joinToString()
            fault(name, "an unknown field with ${shown(document[name])}", allowed)
        }
    }

    private fun value(field: String): JsonElement? {
        known += field
        return document[field]?.takeUnless { it is JsonNull }
    }

    private fun shown(value: JsonElement?) = value?.toString()?.take(MAX_SHOWN_CHARS) ?: ABSENT
}

private fun String.withoutUnit() = UNITS.firstOrNull { endsWith(it) }?.let { removeSuffix(it) } ?: this

private val IPV4 = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})""")
private val IPV6 = Regex("""\[[0-9a-fA-F:.]+]""")

/** Whether [text] is a literal IP address with a port; with [anyPort], port 0 is allowed. */
internal fun isAddress(
    text: String,
    anyPort: Boolean,
): Boolean {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').toIntOrNull()
    val isIpv4 =
        IPV4
            .matchEntire(host)
            ?.groupValues
            ?.drop(1)
            ?.all { it.toInt() <= 255 } ?: false
    return (isIpv4 || host.matches(IPV6)) && port != null && port in (if (anyPort) 0 else 1)..65_535
}

/** Whether [text] is an absolute HTTP URL without a trailing slash. */
internal fun isUrl(text: String): Boolean =
    try {
        val uri = URI(text)
        uri.scheme in setOf("http", "https") && uri.host != null && !text.endsWith("/") && uri.rawQuery == null
    } catch (_: URISyntaxException) {
        false
    }
