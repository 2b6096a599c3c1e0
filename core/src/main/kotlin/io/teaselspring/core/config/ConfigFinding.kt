/*
 * The configuration check before submission: the errors for which a daemon would refuse the documents, and warnings
 * about settings that it would accept but that cannot have the effect that they seem to have.
 */
package io.teaselspring.core.config

import io.teaselspring.core.DataCentre
import io.teaselspring.core.OrganisationId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

/** How serious a finding is. */
@Serializable
public enum class Severity {
    /** A daemon would refuse the documents. */
    @SerialName("error")
    ERROR,

    /** A daemon would accept the documents, but this setting has no effect or contradicts another. */
    @SerialName("warning")
    WARNING,
}

/**
 * One finding at the JSON path [path] of [file]; [message] says what to change. [dataCentres] are those in which it
 * applies; empty if it does not depend on the data centre, or if [file] names it.
 */
@Serializable
public data class ConfigFinding(
    val severity: Severity,
    val file: String,
    val path: String,
    val message: String,
    @SerialName("data_centres") val dataCentres: List<DataCentre> = emptyList(),
) {
    override fun toString(): String {
        val where = if (dataCentres.isEmpty()) "" else " (in ${dataCentres.joinToString()})"
        return "${severity.name.lowercase()}: $file: $path: $message$where"
    }
}

/** This error as a finding. */
public fun ConfigProblem.finding(): ConfigFinding =
    ConfigFinding(Severity.ERROR, file, path, "found $value, allowed is $allowed")

/** What operators see of a key: its owner, and whether it is withdrawn or about to be ([pending]). */
@Serializable
public data class KeyStatus(
    val organisation: OrganisationId,
    @SerialName("withdrawn_at_ms") val withdrawnAtMs: Long? = null,
    val pending: Boolean = false,
)

/**
 * All findings of [base] with each overlay applied, errors first. The warnings of [base] alone are reported only if
 * there is no overlay, because an overlay may supply what the base lacks. A data centre whose documents have errors
 * gets no warnings.
 */
public fun checkConfiguration(
    base: NamedDocument,
    overlays: Map<DataCentre, NamedDocument>,
): List<ConfigFinding> {
    val baseProblems = validateDocuments(base, emptyMap())
    if (baseProblems.isNotEmpty()) return baseProblems.map { it.finding() }
    if (overlays.isEmpty()) return warningsOf(base, null, null)
    return overlays
        .flatMap { (dataCentre, overlay) ->
            val problems = validateDocuments(base, mapOf(dataCentre to overlay))
            if (problems.isEmpty()) warningsOf(base, dataCentre, overlay) else problems.map { it.finding() }
        }.groupBy { it.copy(dataCentres = emptyList()) }
        .map { (finding, same) -> finding.copy(dataCentres = same.flatMap { it.dataCentres }) }
        .sortedBy { it.severity }
}

/** Warnings about [organisations] none of whose [keys] works. */
public fun checkOrganisations(
    organisations: Set<OrganisationId>,
    keys: List<KeyStatus>,
): List<ConfigFinding> {
    val byOwner = keys.groupBy { it.organisation }
    return organisations.mapNotNull { organisation ->
        val owned = byOwner[organisation].orEmpty()
        if (owned.any { it.withdrawnAtMs == null && !it.pending }) return@mapNotNull null
        val state = if (owned.isEmpty()) "has no key" else "has only withdrawn keys"
        val message = "the organisation $state, so no request can be its own; create a key or delete the organisation"
        ConfigFinding(Severity.WARNING, "the organisations in force", "$.$organisation", message)
    }
}

private fun warningsOf(
    base: NamedDocument,
    dataCentre: DataCentre?,
    overlay: NamedDocument?,
): List<ConfigFinding> =
    buildList {
        fun warn(
            file: String,
            names: List<String>,
            message: String,
        ) = add(
            ConfigFinding(Severity.WARNING, file, "$." + names.joinToString("."), message, listOfNotNull(dataCentre)),
        )
        val document = overlay?.let { base.document.mergedWith(it.document) } ?: base.document
        decodeSite(document).reportWarnings { names, message ->
            val overlaid = overlay?.document.at(names)
            // An overlay that only alters members of an object of the base does not define that object.
            val isOverlays = overlaid != null && (overlaid !is JsonObject || base.document.at(names) == null)
            warn(if (overlay != null && isOverlays) overlay.file else base.file, names, message)
        }
        overlay?.document?.reportVainRemovals(base.document) { names ->
            warn(overlay.file, names, "null removes nothing here, because the base has no such field; remove this line")
        }
    }

private fun JsonObject?.at(names: List<String>): JsonElement? =
    names.fold(this as JsonElement?) { element, name -> (element as? JsonObject)?.get(name) }

private fun JsonObject.reportVainRemovals(
    target: JsonObject,
    names: List<String> = emptyList(),
    report: (names: List<String>) -> Unit,
) {
    forEach { (name, value) ->
        val inTarget = target[name]
        when {
            value is JsonNull && inTarget == null -> report(names + name)
            value is JsonObject -> {
                val members = inTarget as? JsonObject ?: JsonObject(emptyMap())
                value.reportVainRemovals(members, names + name, report)
            }
        }
    }
}
