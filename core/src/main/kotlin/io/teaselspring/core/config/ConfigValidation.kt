/*
 * Validation of whole configurations: the base by itself, each overlay over the base, and the organisations and keys.
 */
package io.teaselspring.core.config

import io.teaselspring.core.DataCentre
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

private val SHA256_HEX = Regex("[0-9a-f]{64}")

/** All errors of [base] alone and of each overlay merged into it; empty if the documents are valid. */
public fun validateDocuments(
    base: NamedDocument,
    overlays: Map<DataCentre, NamedDocument>,
): List<ConfigProblem> {
    val problems = mutableListOf<ConfigProblem>()
    checkDocument(base.document) { path, value, allowed -> problems += ConfigProblem(base.file, path, value, allowed) }
    // Each overlay merged into an invalid base would repeat the errors of the base.
    if (problems.isNotEmpty()) return problems
    overlays.forEach { (dataCentre, overlay) ->
        if (!dataCentre.value.matches(ENTITY_NAME)) {
            problems += ConfigProblem(overlay.file, "$", "the data centre \"$dataCentre\"", ENTITY_NAME_ALLOWED)
        }
        checkDocument(base.document.mergedWith(overlay.document)) { path, value, allowed ->
            val file = if (overlay.document.containsPath(path)) overlay.file else "${overlay.file} over ${base.file}"
            problems += ConfigProblem(file, path, value, allowed)
        }
    }
    return problems
}

private fun JsonObject.containsPath(path: String): Boolean {
    var element: JsonElement? = this
    path.removePrefix("$.").split('.').forEach { name ->
        element = (element as? JsonObject)?.get(name.substringBefore('['))
    }
    return element != null
}

/** All errors that [edits] would bring into this state; empty if the change may be accepted. */
public fun ConfigState.problemsOf(edits: List<ConfigEdit>): List<ConfigProblem> {
    val after = applying(ConfigChange(version + 1, "", "", 0, edits))
    val documents =
        if (edits.any {
                it is ConfigEdit.PutBase || it is ConfigEdit.PutOverlay
            }
        ) {
            after.documentProblems()
        } else {
            listOf()
        }
    return documents + edits.flatMap { after.problemsOf(it) }
}

private fun ConfigState.documentProblems() =
    validateDocuments(
        NamedDocument("base", base),
        overlays.mapValues { (dataCentre, overlay) -> NamedDocument("overlay $dataCentre", overlay) },
    )

private fun ConfigState.problemsOf(edit: ConfigEdit): List<ConfigProblem> =
    when (edit) {
        is ConfigEdit.PutBase, is ConfigEdit.PutOverlay -> emptyList()
        is ConfigEdit.PutOrganisation -> organisationProblems(edit)
        is ConfigEdit.PutKey -> keyProblems(edit)
    }

private fun ConfigState.organisationProblems(edit: ConfigEdit.PutOrganisation): List<ConfigProblem> =
    buildList {
        val value = edit.value
        val file = "organisation ${edit.id}"
        if (!edit.id.value.matches(ENTITY_NAME)) {
            add(ConfigProblem(file, "$", "the name \"${edit.id}\"", ENTITY_NAME_ALLOWED))
        }
        if (value == null) {
            val key = keys.entries.firstOrNull { it.value.organisation == edit.id && it.value.withdrawnAtMs == null }
            if (key != null) add(ConfigProblem(file, "$", "the active key ${key.key}", "no active keys when deleted"))
            return@buildList
        }
        if (value.weight !in 1..1000) add(ConfigProblem(file, "$.weight", "${value.weight}", "1 to 1000"))
        value.requestsPerSecond?.let {
            if (!(it > 0 && it <= 1e6)) add(ConfigProblem(file, "$.requests_per_second", "$it", "above 0, to 1000000"))
        }
        value.maxConcurrent?.let {
            if (it !in 1..1_000_000) add(ConfigProblem(file, "$.max_concurrent", "$it", "1 to 1000000"))
        }
    }

private fun ConfigState.keyProblems(edit: ConfigEdit.PutKey): List<ConfigProblem> =
    buildList {
        val value = edit.value ?: return@buildList
        val file = "key ${edit.id}"
        if (!edit.id.value.matches(ENTITY_NAME)) {
            add(ConfigProblem(file, "$", "the id \"${edit.id}\"", ENTITY_NAME_ALLOWED))
        }
        if (value.withdrawnAtMs == null && value.organisation !in organisations) {
            add(ConfigProblem(file, "$.organisation", "\"${value.organisation}\"", "an organisation that exists"))
        }
        if (!value.secretSha256.matches(SHA256_HEX)) {
            add(ConfigProblem(file, "$.secret_sha256", "something else", "64 lower-case hexadecimal digits"))
        }
    }

/** The configuration in force in [dataCentre]. */
public fun ConfigState.siteConfig(dataCentre: DataCentre): SiteConfig = decodeSite(documentOf(dataCentre))

/** The document in force in [dataCentre]; a null data centre stands for one without an overlay. */
internal fun ConfigState.documentOf(dataCentre: DataCentre?): JsonObject =
    overlays[dataCentre]?.let(base::mergedWith) ?: base
