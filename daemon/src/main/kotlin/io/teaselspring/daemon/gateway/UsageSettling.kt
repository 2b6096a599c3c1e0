/*
 * Decides when the usage of a window is complete. Entries that are cut off from the store come back with their counts
 * later, so a window waits for all entries that had a row in the one before it, as long as its report is not due.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.Incarnation
import io.teaselspring.core.usage.EntryUsageRow
import io.teaselspring.core.usage.UsageWindow
import io.teaselspring.daemon.usage.UsageTable
import io.teaselspring.ports.PlatformError
import org.slf4j.LoggerFactory
import kotlin.time.Clock
import kotlin.time.Duration

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.usage")

/**
 * Waits for the entries' counts for at most [patience] after the end of a window of [lengthMs]. [counted] is told how
 * many entries had a row in a window.
 */
internal class UsageSettling(
    private val table: UsageTable,
    private val clock: Clock,
    private val lengthMs: Long,
    private val patience: Duration,
    private val counted: suspend (entries: Int) -> Unit,
) {
    private var members: Pair<UsageWindow, Map<Incarnation, EntryUsageRow>>? = null

    /** Whether all counts of [window] are there, or its patience is over. */
    suspend fun isSettled(window: UsageWindow): Either<PlatformError, Boolean> {
        val expected = membersBefore(window).getOrElse { return it.left() }
        val rows = table.entryRows(window).getOrElse { return it.left() }
        val missing = (expected + rows).filter { (entry, last) -> !isDone(entry, last, rows) }.keys
        val nowMs = clock.now().toEpochMilliseconds()
        val isOver = nowMs - window.startMs - lengthMs >= patience.inWholeMilliseconds
        if (missing.isNotEmpty() && !isOver) return false.right()
        if (missing.isNotEmpty()) log.warn("event=usage_incomplete window={} missing={}", window.id, missing)
        members = window to staying(rows)
        counted(staying(rows).keys.distinctBy { it.instance }.size)
        return true.right()
    }

    /** Whether nothing more will come from [entry], whose [last] row is of this window or of the one before it. */
    private fun isDone(
        entry: Incarnation,
        last: EntryUsageRow,
        rows: Map<Incarnation, EntryUsageRow>,
    ) = rows[entry]?.isFinal == true || entry.isReplacedIn(rows.keys) || isGone(entry, last, rows.values)

    /**
     * Whether the entry was killed for good: another one has stored its counts a window's length after it, which shows
     * that the store was there, and as long again it still has not.
     */
    private fun isGone(
        entry: Incarnation,
        last: EntryUsageRow,
        others: Collection<EntryUsageRow>,
    ): Boolean {
        val lastMs = last.storedAtMs ?: return false
        val nowMs = clock.now().toEpochMilliseconds()
        val isGone = others.mapNotNull { it.storedAtMs }.any { it - lastMs >= lengthMs && nowMs - it >= lengthMs }
        if (isGone) log.info("event=usage_entry_gone entry={} silent_ms={}", entry, nowMs - lastMs)
        return isGone
    }

    private suspend fun membersBefore(window: UsageWindow): Either<PlatformError, Map<Incarnation, EntryUsageRow>> {
        val before = UsageWindow(window.startMs - lengthMs)
        members?.let { (last, known) -> if (last == before || last == window) return known.right() }
        return table.entryRows(before).map(::staying)
    }

    /** A later process of the same instance shows that this one has ended, and that its counts will not come. */
    private fun Incarnation.isReplacedIn(all: Set<Incarnation>) = all.any { it != this && it.instance == instance }

    private fun staying(rows: Map<Incarnation, EntryUsageRow>) = rows.filterValues { !it.isLeaving }
}
