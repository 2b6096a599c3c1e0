/*
 * The transactional table: rows with versions, changed all or none under conditions on their versions.
 */
package io.teaselspring.standins.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import java.util.TreeMap

@Serializable
internal data class Row(
    val key: String,
    val version: Long,
    val value: JsonElement,
)

@Serializable
internal data class Rows(
    val rows: List<Row>,
    val more: Boolean,
)

/** One write of a transaction as it is sent. */
@Serializable
internal data class WriteRequest(
    val table: String,
    val key: String,
    @SerialName("if_version") val ifVersion: Long? = null,
    val value: JsonElement?,
)

/** A write; [condition] sees the version of the row, 0 if there is none. A null [value] deletes the row. */
internal class Write(
    val table: String,
    val key: String,
    val value: JsonElement?,
    val condition: (version: Long) -> Boolean,
)

internal fun WriteRequest.toWrite(): Write =
    Write(table, key, value) { version -> ifVersion == null || ifVersion == version }

internal sealed interface Outcome {
    /** All writes took effect; a deleted row has version 0. */
    class Written(
        val versions: List<Long>,
    ) : Outcome

    /** The condition of the write at [index] did not hold and nothing was changed. */
    class Refused(
        val index: Int,
    ) : Outcome
}

/** Not safe for concurrent use; the platform guards it. */
internal class Tables {
    private val byName = mutableMapOf<String, TreeMap<String, Row>>()

    fun get(
        table: String,
        key: String,
    ): Row? = byName[table]?.get(key)

    /** At most [limit] rows in key order whose key starts with [prefix] and is greater than [after]. */
    fun scan(
        table: String,
        prefix: String,
        after: String?,
        limit: Int,
    ): Rows {
        val rows = byName[table] ?: return Rows(emptyList(), more = false)
        val from = if (after == null || after < prefix) rows.tailMap(prefix, true) else rows.tailMap(after, false)
        val found =
            from.values
                .asSequence()
                .takeWhile { it.key.startsWith(prefix) }
                .take(limit + 1)
                .toList()
        return Rows(found.take(limit), more = found.size > limit)
    }

    /** Applies [writes] in order, each seeing those before it, or none of them. */
    fun write(writes: List<Write>): Outcome {
        val changed = linkedMapOf<Pair<String, String>, Row?>()
        val versions =
            writes.mapIndexed { index, write ->
                val place = write.table to write.key
                val before = if (place in changed) changed[place] else get(write.table, write.key)
                val version = before?.version ?: 0
                if (!write.condition(version)) return Outcome.Refused(index)
                val after = write.value?.let { Row(write.key, version + 1, it) }
                changed[place] = after
                after?.version ?: 0
            }
        changed.forEach { (place, row) ->
            val table = byName.getOrPut(place.first) { TreeMap() }
            if (row == null) table.remove(place.second) else table[place.second] = row
        }
        return Outcome.Written(versions)
    }
}
