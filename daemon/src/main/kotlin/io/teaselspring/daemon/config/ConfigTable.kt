/*
 * The change log in the platform's table: one row per change and a head row that names the last one. A change and the
 * head are written in one transaction, so the log has no gaps and no branches.
 */
package io.teaselspring.daemon.config

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.config.ConfigChange
import io.teaselspring.core.config.ConfigState
import io.teaselspring.ports.ABSENT
import io.teaselspring.ports.ObjectStore
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.TableWrite
import io.teaselspring.ports.resolvingAmbiguousWrite
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement

/** The table that holds all rows of the system. */
const val TABLE = "teaselspring"

private const val HEAD_KEY = "config/head"
private const val CHANGE_PREFIX = "config/change/"
private const val PAGE_ROWS = 100

private val json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

/** The head row: the last [version], the id of its change and the version of the newest snapshot object. */
@Serializable
data class ConfigHead(
    val version: Long = 0,
    @SerialName("change_id") val changeId: String = "",
    @SerialName("snapshot_version") val snapshotVersion: Long = 0,
)

/** The head as it was read; [rowVersion] is the condition for replacing it. */
data class StoredHead(
    val head: ConfigHead,
    val rowVersion: Long,
)

/** Reads and writes the change log. */
class ConfigTable(
    private val table: TableStore,
    private val objects: ObjectStore,
) {
    /** The head, version 0 if there is none. */
    suspend fun head(): Either<PlatformError, StoredHead> =
        table.get(TABLE, HEAD_KEY).flatMap { row ->
            if (row ==
                null
            ) {
                StoredHead(ConfigHead(), ABSENT).right()
            } else {
                decode<ConfigHead, StoredHead>(row.value) { StoredHead(it, row.version) }
            }
        }

    /** All changes after [version], in order. */
    suspend fun changesAfter(version: Long): Either<PlatformError, List<ConfigChange>> {
        val changes = mutableListOf<ConfigChange>()
        var after = changeKey(version)
        while (true) {
            val page = table.scan(TABLE, CHANGE_PREFIX, after, PAGE_ROWS).getOrElse { return it.left() }
            page.rows.forEach { row ->
                changes += decode<ConfigChange, ConfigChange>(row.value) { it }.getOrElse { return it.left() }
            }
            after = page.rows.lastOrNull()?.key ?: break
            if (!page.more) break
        }
        return changes.right()
    }

    /** Stores [change] as the successor of [expected]; a conflict means that another change came first. */
    suspend fun append(
        change: ConfigChange,
        expected: StoredHead,
        snapshotVersion: Long,
    ): Either<PlatformError, Unit> {
        val key = changeKey(change.version)
        val head = ConfigHead(change.version, change.changeId, maxOf(snapshotVersion, expected.head.snapshotVersion))
        val writes =
            listOf(
                TableWrite(TABLE, key, ABSENT, json.encodeToJsonElement(change)),
                TableWrite(TABLE, HEAD_KEY, expected.rowVersion, json.encodeToJsonElement(head)),
            )
        return resolvingAmbiguousWrite(
            readBack = { readBack(key, change.changeId) },
            write = { table.transaction(writes).map { } },
        )
    }

    /** Writes a snapshot object; objects are replaced whole, so a repeated write is harmless. */
    suspend fun putSnapshot(state: ConfigState): Either<PlatformError, Unit> =
        objects.put(snapshotKey(state.version), encodeSnapshot(state))

    /** The snapshot of [version], or null if there is none. */
    suspend fun snapshot(version: Long): Either<PlatformError, ConfigState?> =
        objects.get(snapshotKey(version)).flatMap { bytes ->
            Either.catch { bytes?.let(::decodeSnapshot) }.mapLeft { unreadable(it) }
        }

    private suspend fun readBack(
        key: String,
        changeId: String,
    ): Either<PlatformError, Unit?> =
        table.get(TABLE, key).flatMap { row ->
            if (row == null) {
                null.right()
            } else {
                decode<ConfigChange, Unit?>(row.value) { if (it.changeId == changeId) Unit else null }
            }
        }

    private inline fun <reified T, R> decode(
        value: JsonElement,
        use: (T) -> R,
    ): Either<PlatformError, R> = Either.catch { use(json.decodeFromJsonElement<T>(value)) }.mapLeft { unreadable(it) }

    private fun unreadable(cause: Throwable) =
        PlatformError.Unavailable("config-decode", "store", cause.message?.lineSequence()?.first() ?: "undecodable")

    // Padded, so that the order of the keys is the order of the versions.
    private fun changeKey(version: Long) = CHANGE_PREFIX + version.toString().padStart(12, '0')

    private fun snapshotKey(version: Long) = "config/snapshot/$version"
}
