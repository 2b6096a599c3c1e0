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

/** Waits for the entries' counts for at most [patience] after the end of a window of [lengthMs]. */
internal class UsageSettling(
    private val table: UsageTable,
    private val clock: Clock,
    private val lengthMs: Long,
    private val patience: Duration,
) {
    private var members: Pair<UsageWindow, Set<Incarnation>>? = null

    /** Whether all counts of [window] are there, or its patience is over. */
    suspend fun isSettled(window: UsageWindow): Either<PlatformError, Boolean> {
        val expected = membersBefore(window).getOrElse { return it.left() }
        val rows = table.entryRows(window).getOrElse { return it.left() }
        val missing = (expected + rows.keys).filter { rows[it]?.isFinal != true && !it.isReplacedIn(rows.keys) }
        val waitedMs = clock.now().toEpochMilliseconds() - window.startMs - lengthMs
        val isOver = waitedMs >= patience.inWholeMilliseconds
        if (missing.isNotEmpty() && !isOver) return false.right()
        if (missing.isNotEmpty()) log.warn("event=usage_incomplete window={} missing={}", window.id, missing)
        members = window to staying(rows)
        return true.right()
    }

    private suspend fun membersBefore(window: UsageWindow): Either<PlatformError, Set<Incarnation>> {
        val before = UsageWindow(window.startMs - lengthMs)
        members?.let { (last, known) -> if (last == before || last == window) return known.right() }
        return table.entryRows(before).map(::staying)
    }

    /** A later process of the same instance shows that this one has ended, and that its counts will not come. */
    private fun Incarnation.isReplacedIn(all: Set<Incarnation>) = all.any { it != this && it.instance == instance }

    private fun staying(rows: Map<Incarnation, EntryUsageRow>) = rows.filterValues { !it.isLeaving }.keys
}
