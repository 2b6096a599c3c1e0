/*
 * The row of an upstream's software versions in the shared table.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.decode.decodeOrNull
import io.teaselspring.core.registry.VersionHistory
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.encodeToJsonElement

/** Prefix of the keys of version rows; the rest is the name of the upstream. */
internal const val VERSIONS_KEY_PREFIX = "versions/"

/** [history] as an entry stored it in [generation] of the store: a restore since may have undone later changes. */
data class StoredVersions(
    val history: VersionHistory,
    val generation: Long?,
)

@Serializable
private data class VersionsRow(
    @SerialName("left_at_ms") val leftAtMs: Map<String, Long?>,
    val generation: Long? = null,
)

private val versionsJson = Json { ignoreUnknownKeys = true }

internal fun encodeVersions(stored: StoredVersions): JsonElement =
    versionsJson.encodeToJsonElement(VersionsRow(stored.history.leftAtMs, stored.generation))

/** Decodes a version row; null if it is unreadable. */
internal fun decodeVersions(text: String): StoredVersions? =
    decodeOrNull { versionsJson.decodeFromString<VersionsRow>(text) }
        ?.let { StoredVersions(VersionHistory(it.leftAtMs), it.generation) }
