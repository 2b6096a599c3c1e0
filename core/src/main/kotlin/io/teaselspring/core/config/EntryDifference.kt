/*
 * What a set of documents would change in each data centre, entry by entry: one class, upstream, route or limit each.
 */
package io.teaselspring.core.config

import io.teaselspring.core.DataCentre
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** What happens to an entry. */
@Serializable
public enum class EntryChange {
    @SerialName("added")
    ADDED,

    @SerialName("removed")
    REMOVED,

    @SerialName("changed")
    CHANGED,
}

/**
 * A difference of [entry], such as `routes.chat`, with the base and the overlay of the data centre applied. [lines] are
 * those of [diffLines]. It applies in [dataCentres] and, if [withoutOverlay], in every one that has no overlay.
 */
@Serializable
public data class EntryDifference(
    val entry: String,
    val change: EntryChange,
    val lines: List<String>,
    @SerialName("data_centres") val dataCentres: List<DataCentre> = emptyList(),
    @SerialName("without_overlay") val withoutOverlay: Boolean = false,
)

/** The differences of [after] from this state in the order of the entries; organisations and keys are not compared. */
public fun ConfigState.differencesTo(after: ConfigState): List<EntryDifference> {
    val dataCentres = (overlays.keys + after.overlays.keys).sortedBy { it.value }
    return (listOf(null) + dataCentres)
        .flatMap { place -> entryDifferences(documentOf(place), after.documentOf(place)).map { it to place } }
        .groupBy({ it.first }, { it.second })
        .map { (difference, places) ->
            difference.copy(dataCentres = places.filterNotNull(), withoutOverlay = null in places)
        }.sortedBy { it.entry }
}

private fun entryDifferences(
    before: JsonObject,
    after: JsonObject,
): List<EntryDifference> {
    val old = before.entriesByName()
    val new = after.entriesByName()
    return (old.keys + new.keys).filter { old[it] != new[it] }.map { name ->
        val change =
            when {
                name !in old -> EntryChange.ADDED
                name !in new -> EntryChange.REMOVED
                else -> EntryChange.CHANGED
            }
        EntryDifference(name, change, diffLines(old[name], new[name], "$.$name"))
    }
}

private fun JsonObject.entriesByName(): Map<String, JsonElement> =
    entries
        .flatMap { (section, value) ->
            (value as? JsonObject)?.map { "$section.${it.key}" to it.value } ?: listOf(section to value)
        }.toMap()
