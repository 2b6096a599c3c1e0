/*
 * The replicated change log of the configuration: a sequence of changes with consecutive versions. Applying them in
 * order to a snapshot is deterministic and gives the same state in every process.
 */
package io.teaselspring.core.config

import io.teaselspring.core.DataCentre
import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** One edit of a configuration entity; a null value deletes the entity. */
@Serializable
public sealed interface ConfigEdit {
    /** Replaces the base. */
    @Serializable
    @SerialName("base")
    public data class PutBase(
        @Serializable(PortableJsonSerializer::class) val value: JsonObject,
    ) : ConfigEdit

    /** Replaces or deletes the overlay of one data centre. */
    @Serializable
    @SerialName("overlay")
    public data class PutOverlay(
        @SerialName("data_centre") val dataCentre: DataCentre,
        @Serializable(PortableJsonSerializer::class) val value: JsonObject?,
    ) : ConfigEdit

    /** Replaces or deletes an organisation. */
    @Serializable
    @SerialName("organisation")
    public data class PutOrganisation(
        val id: OrganisationId,
        val value: Organisation?,
    ) : ConfigEdit

    /** Replaces or deletes a key. */
    @Serializable
    @SerialName("key")
    public data class PutKey(
        val id: KeyId,
        val value: ApiKey?,
    ) : ConfigEdit
}

/**
 * An accepted change. [version] is exactly one more than that of the state it applies to. By [changeId] a writer whose
 * response was lost recognises the stored change as its own.
 */
@Serializable
public data class ConfigChange(
    val version: Long,
    @SerialName("change_id") val changeId: String,
    val author: String,
    @SerialName("accepted_at_ms") val acceptedAtMs: Long,
    val edits: List<ConfigEdit>,
)

/**
 * The state after [change].
 *
 * @throws IllegalArgumentException if the version of [change] is not the next one.
 */
public fun ConfigState.applying(change: ConfigChange): ConfigState {
    require(change.version == version + 1) { "change ${change.version} does not follow version $version" }
    return change.edits.fold(this, ConfigState::applying).copy(version = change.version)
}

private fun ConfigState.applying(edit: ConfigEdit): ConfigState =
    when (edit) {
        is ConfigEdit.PutBase -> copy(base = edit.value)
        is ConfigEdit.PutOverlay -> copy(overlays = overlays.with(edit.dataCentre, edit.value))
        is ConfigEdit.PutOrganisation -> copy(organisations = organisations.with(edit.id, edit.value))
        is ConfigEdit.PutKey -> copy(keys = keys.with(edit.id, edit.value))
    }

private fun <K, V : Any> Map<K, V>.with(
    key: K,
    value: V?,
): Map<K, V> = if (value == null) minus(key) else plus(key to value)
