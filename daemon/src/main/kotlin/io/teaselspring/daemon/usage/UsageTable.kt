/*
 * Usage rows in the platform's table. Windows close by one row that every flush checks in its transaction; a check is
 * the deletion of a row under the condition that it is absent.
 */
package io.teaselspring.daemon.usage

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.Incarnation
import io.teaselspring.core.usage.AgentUsageRow
import io.teaselspring.core.usage.EntryUsageRow
import io.teaselspring.core.usage.FlushPlan
import io.teaselspring.core.usage.FrozenWindow
import io.teaselspring.core.usage.StoredAgentRow
import io.teaselspring.core.usage.UsageCount
import io.teaselspring.core.usage.UsageWindow
import io.teaselspring.core.usage.mergedCounts
import io.teaselspring.daemon.config.TABLE
import io.teaselspring.ports.ABSENT
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.Row
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.TableWrite
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put

internal val usageJson =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

internal fun agentKey(
    window: UsageWindow,
    agent: Incarnation,
) = "usage/${window.id}/agent/$agent"

internal fun entryKey(
    window: UsageWindow,
    entry: Incarnation,
) = "usage/${window.id}/entry/$entry"

internal fun closedKey(window: UsageWindow) = "usage/${window.id}/closed"

internal fun frozenKey(window: UsageWindow) = "usage/${window.id}/frozen"

internal fun reportedKey(window: UsageWindow) = "usage/${window.id}/reported"

/** A write that changes nothing and makes the transaction fail unless the row is absent. */
internal fun requireAbsent(key: String) = TableWrite(TABLE, key, ABSENT, null)

internal inline fun <reified T> decodeRow(row: Row): Either<PlatformError, T> =
    Either
        .catch { usageJson.decodeFromJsonElement<T>(row.value) }
        .mapLeft { PlatformError.Unavailable("usage-decode", "store", "${row.key}: ${it.message}") }

/** Reads and writes usage rows. */
class UsageTable(
    private val table: TableStore,
) {
    /** The row [key], decoded, with its version; null if there is none. */
    internal suspend inline fun <reified T> read(key: String): Either<PlatformError, Pair<T, Long>?> =
        table.get(TABLE, key).flatMap { row ->
            if (row == null) null.right() else decodeRow<T>(row).map { it to row.version }
        }

    /** The agent's row in the latest of the windows from [last] back to [first], or null. */
    suspend fun latestAgentRow(
        agent: Incarnation,
        last: UsageWindow,
        first: UsageWindow,
        lengthMs: Long,
    ): Either<PlatformError, StoredAgentRow?> {
        var window = last
        while (window >= first) {
            val found = read<AgentUsageRow>(agentKey(window, agent)).getOrElse { return it.left() }
            if (found != null) return StoredAgentRow(window, found.second, found.first).right()
            window = UsageWindow(window.startMs - lengthMs)
        }
        return null.right()
    }

    /** Carries out an agent's flush and returns the new version of its row. */
    suspend fun flush(
        agent: Incarnation,
        plan: FlushPlan,
    ): Either<PlatformError, Long> {
        val previous =
            plan.previous?.let {
                write(
                    agentKey(it.window, agent),
                    it.rowVersion,
                    usageJson.encodeToJsonElement(it.row),
                )
            }
        val writes =
            listOf(
                write(agentKey(plan.window, agent), plan.currentVersion, usageJson.encodeToJsonElement(plan.current)),
                requireAbsent(closedKey(plan.window)),
            ) + plan.absent.map { requireAbsent(agentKey(it, agent)) }
        return transaction(writes + listOfNotNull(previous)).map { it.first() }
    }

    /** Applies all writes or none. */
    suspend fun transaction(writes: List<TableWrite>): Either<PlatformError, List<Long>> = table.transaction(writes)

    /** Closes [window] for flushes; done already is done. */
    suspend fun close(window: UsageWindow): Either<PlatformError, Unit> {
        val body = buildJsonObject { put("closed", true) }
        return table.put(TABLE, closedKey(window), body, ABSENT).map { }.orIfConflict { Unit.right() }
    }

    /** Whether [window] takes no more usage. */
    suspend fun isClosed(window: UsageWindow): Either<PlatformError, Boolean> =
        table.get(TABLE, closedKey(window)).map { it != null }

    /** The merged counts of all rows of [window], which must be closed. */
    suspend fun sum(window: UsageWindow): Either<PlatformError, List<UsageCount>> {
        val agents = counts<AgentUsageRow>("usage/${window.id}/agent/") { it.counts }.getOrElse { return it.left() }
        val entries = counts<EntryUsageRow>("usage/${window.id}/entry/") { it.counts }.getOrElse { return it.left() }
        return mergedCounts(agents + entries).right()
    }

    /**
     * Stores [frozen] as the figures of [window] unless some are stored, and returns those that are. This is the only
     * write of the row.
     */
    suspend fun freeze(
        window: UsageWindow,
        frozen: FrozenWindow,
    ): Either<PlatformError, FrozenWindow> =
        table
            .put(TABLE, frozenKey(window), usageJson.encodeToJsonElement(frozen), ABSENT)
            .map { frozen }
            // After a conflict or a lost response, what counts is what is stored.
            .fold({ frozen(window).flatMap { stored -> stored?.right() ?: it.left() } }, { it.right() })

    /** The frozen figures of [window], or null. */
    suspend fun frozen(window: UsageWindow): Either<PlatformError, FrozenWindow?> =
        read<FrozenWindow>(frozenKey(window)).map { it?.first }

    /** Whether [window] was reported and the intake confirmed it. */
    suspend fun isReported(window: UsageWindow): Either<PlatformError, Boolean> =
        table.get(TABLE, reportedKey(window)).map { it != null }

    /** Notes that the intake confirmed the report of [window] under [epoch]. */
    suspend fun markReported(
        window: UsageWindow,
        epoch: Long,
    ): Either<PlatformError, Unit> {
        val body = buildJsonObject { put("epoch", epoch) }
        return table.put(TABLE, reportedKey(window), body, ABSENT).map { }.orIfConflict { Unit.right() }
    }

    /** The start of the earliest window that has a row, or null. */
    suspend fun earliestWindow(): Either<PlatformError, String?> =
        table.scan(TABLE, "usage/", limit = 1).map { page ->
            page.rows
                .firstOrNull()
                ?.key
                ?.split('/')
                ?.getOrNull(1)
        }

    /** The rows that entries have in [window]. */
    suspend fun entryRows(window: UsageWindow): Either<PlatformError, Map<Incarnation, EntryUsageRow>> {
        val prefix = "usage/${window.id}/entry/"
        val found = LinkedHashMap<Incarnation, EntryUsageRow>()
        var after: String? = null
        do {
            val page = table.scan(TABLE, prefix, after).getOrElse { return it.left() }
            for (row in page.rows) {
                found[Incarnation(row.key.removePrefix(prefix))] =
                    decodeRow<EntryUsageRow>(row).getOrElse { return it.left() }
            }
            after = page.rows.lastOrNull()?.key
        } while (page.more)
        return found.right()
    }

    private suspend inline fun <reified T> counts(
        prefix: String,
        counts: (T) -> List<UsageCount>,
    ): Either<PlatformError, List<UsageCount>> {
        val found = mutableListOf<UsageCount>()
        var after: String? = null
        do {
            val page = table.scan(TABLE, prefix, after).getOrElse { return it.left() }
            page.rows.forEach { row -> found += counts(decodeRow<T>(row).getOrElse { return it.left() }) }
            after = page.rows.lastOrNull()?.key
        } while (page.more)
        return found.right()
    }
}

internal fun write(
    key: String,
    ifVersion: Long,
    value: JsonElement,
) = TableWrite(TABLE, key, ifVersion, value)

private inline fun <T> Either<PlatformError, T>.orIfConflict(
    other: () -> Either<PlatformError, T>,
): Either<PlatformError, T> = if (leftOrNull() is PlatformError.Conflict) other() else this
