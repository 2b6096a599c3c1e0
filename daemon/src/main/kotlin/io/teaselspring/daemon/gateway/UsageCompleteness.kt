/*
 * Decides when the usage of a window can be reported. Entries that were cut off from the store add their counts later,
 * so a window waits for all entries that had a row in the previous window, up to an allowed lateness.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.teaselspring.core.Incarnation
import io.teaselspring.core.usage.EntryUsageRow
import io.teaselspring.core.usage.UsageWindow
import io.teaselspring.daemon.usage.UsageTable
import io.teaselspring.daemon.usage.WindowReadiness
import io.teaselspring.ports.PlatformError
import org.slf4j.LoggerFactory
import kotlin.time.Clock
import kotlin.time.Duration

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.usage")

/**
 * Waits for the counts of entries for at most [allowedLateness] after the end of a window of [lengthMs].
 * [own] is the entry that reports. [onEntriesCounted] gets the number of entries that had a row in a window, and
 * [onRows] the rows of a window that is about to be reported, possibly more than once.
 */
internal class UsageCompleteness(
    private val own: Incarnation,
    private val table: UsageTable,
    private val clock: Clock,
    private val lengthMs: Long,
    private val allowedLateness: Duration,
    private val onEntriesCounted: suspend (entries: Int) -> Unit,
    private val storeGeneration: () -> Long? = { null },
    private val onRows: (UsageWindow, Collection<EntryUsageRow>) -> Unit = { _, _ -> },
) {
    private var lastReported: Pair<UsageWindow, Map<Incarnation, EntryUsageRow>>? = null

    /** When the last restore of the store was seen; null if none was. */
    private var restoredAtMs: Long? = null

    /** The store has been restored from an older copy. */
    fun storeRestored() {
        restoredAtMs = clock.now().toEpochMilliseconds()
        lastReported = null
    }

    /** Whether all counts of [window] are stored, or [allowedLateness] has passed since its end. */
    suspend fun readiness(window: UsageWindow): Either<PlatformError, WindowReadiness> =
        either {
            val expected = expectedEntries(window).bind()
            val rows = table.entryRows(window).bind()
            val mayBeReported = mayBeUndone(window, expected.values + rows.values)
            val missing =
                if (mayBeReported) {
                    val asked = entriesBefore(window).bind() + expected.keys + rows.keys + own
                    asked.filterNot { hasStoredSinceRestore(it, rows) }
                } else {
                    (expected + rows).filter { (entry, last) -> !isFinished(entry, last, rows) }.keys
                }
            val nowMs = clock.now().toEpochMilliseconds()
            val isPastLateness = nowMs - window.startMs - lengthMs >= allowedLateness.inWholeMilliseconds
            if (missing.isNotEmpty() && !isPastLateness) return@either WindowReadiness.WAITING
            if (missing.isNotEmpty()) log.warn("event=usage_incomplete window={} missing={}", window.id, missing)
            onRows(window, rows.values)
            lastReported = window to withoutStopped(rows)
            onEntriesCounted(withoutStopped(rows).keys.distinctBy { it.instance }.size)
            if (mayBeReported && missing.isNotEmpty()) WindowReadiness.UNKNOWN else WindowReadiness.READY
        }

    /**
     * Whether [window] ended before the last restore, so that its rows and the fact that it was reported may be lost. A
     * process that started since sees that from [rows] of an earlier generation.
     */
    private fun mayBeUndone(
        window: UsageWindow,
        rows: List<EntryUsageRow>,
    ): Boolean {
        val generation = storeGeneration() ?: return false
        restoredAtMs?.let { return window.startMs + lengthMs <= it }
        // Rows of earlier versions of the program name no generation.
        return rows.any { it.generation != null && it.generation != generation }
    }

    /** The entries that had rows in the windows before [window] whose rows a restore may have undone. */
    private suspend fun entriesBefore(window: UsageWindow): Either<PlatformError, Set<Incarnation>> {
        val found = HashSet<Incarnation>()
        var startMs = window.startMs - lengthMs
        while (startMs >= window.startMs - RETAINED_USAGE_MS) {
            val rows = table.entryRows(UsageWindow(startMs)).getOrElse { return it.left() }
            found += withoutStopped(rows).keys
            startMs -= lengthMs
        }
        return found.right()
    }

    /**
     * Whether [entry] has stored its counts of the window of [rows] since the restore, and before them what it knows of
     * reported windows; or had ended before the window did, since a later process of its instance has.
     */
    private fun hasStoredSinceRestore(
        entry: Incarnation,
        rows: Map<Incarnation, EntryUsageRow>,
    ): Boolean {
        val generation = storeGeneration()
        return rows.any { (other, row) ->
            other.instance == entry.instance && row.isFinal && row.generation == generation
        }
    }

    /** Whether [entry] will store no more counts; its [last] row is of this window or the previous one. */
    private fun isFinished(
        entry: Incarnation,
        last: EntryUsageRow,
        rows: Map<Incarnation, EntryUsageRow>,
    ) = rows[entry]?.isFinal == true || entry.isReplacedIn(rows.keys) || isPresumedDead(entry, last, rows.values)

    /**
     * Whether the entry is presumed dead: another entry stored its counts at least a window's length after it, so the
     * store was available, and for another window's length it has still stored nothing.
     */
    private fun isPresumedDead(
        entry: Incarnation,
        last: EntryUsageRow,
        others: Collection<EntryUsageRow>,
    ): Boolean {
        val lastMs = last.storedAtMs ?: return false
        val nowMs = clock.now().toEpochMilliseconds()
        val isPresumedDead =
            others
                .mapNotNull {
                    it.storedAtMs
                }.any { it - lastMs >= lengthMs && nowMs - it >= lengthMs }
        if (isPresumedDead) log.info("event=usage_entry_gone entry={} silent_ms={}", entry, nowMs - lastMs)
        return isPresumedDead
    }

    private suspend fun expectedEntries(window: UsageWindow): Either<PlatformError, Map<Incarnation, EntryUsageRow>> {
        val before = UsageWindow(window.startMs - lengthMs)
        lastReported?.let { (last, known) -> if (last == before || last == window) return known.right() }
        return table.entryRows(before).map(::withoutStopped)
    }

    /** Another incarnation of the same instance shows that this process has ended and will store no more counts. */
    private fun Incarnation.isReplacedIn(all: Set<Incarnation>) = all.any { it != this && it.instance == instance }

    private fun withoutStopped(rows: Map<Incarnation, EntryUsageRow>) = rows.filterValues { !it.isLeaving }
}
