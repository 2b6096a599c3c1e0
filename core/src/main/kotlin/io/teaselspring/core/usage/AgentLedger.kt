/*
 * Usage metering in an agent: the records that are not stored yet, and the row that they are stored in. A flush writes
 * the agent's row by compare-and-set (optimistic concurrency). An entry that stores records for an agent that it
 * considers lost changes the same row, so exactly one of the two stores a record, even if the agent is only slow.
 */
package io.teaselspring.core.usage

import io.teaselspring.core.Incarnation

/** An agent's stored row of [window] at [rowVersion]; the version is 0 if there is no row yet. */
public data class StoredAgentRow(
    val window: UsageWindow,
    val rowVersion: Long,
    val row: AgentUsageRow,
)

/**
 * One flush, a transaction: [current] becomes the row of [window] if the stored row is at [currentVersion]. Unless it
 * is null, [previous] is written back unchanged on condition of its version, so that no other process can change the
 * old row at the same time. The transaction must also check that [window] is not closed, and that the agent has no row
 * in any of the [absent] windows.
 */
public data class FlushPlan(
    val window: UsageWindow,
    val current: AgentUsageRow,
    val currentVersion: Long,
    val previous: StoredAgentRow?,
    val absent: List<UsageWindow> = emptyList(),
)

/** Bounds the size of the transaction; more windows go by only in an outage of days. */
private const val MAX_ABSENT_WINDOWS = 100

private data class UnstoredItem(
    val entry: Incarnation,
    val item: UsageItem,
)

/**
 * The usage ledger of one agent that started at [startMs]. [lengthMs] is the length of a window and [nextFlushId]
 * returns a new id at each call. Not thread-safe.
 */
public class AgentLedger(
    private val lengthMs: Long,
    private val startMs: Long,
    private val nextFlushId: () -> String,
) {
    private val unstored = mutableListOf<UnstoredItem>()
    private var stored: StoredAgentRow? = null
    private var closedUpTo = UsageWindow(Long.MIN_VALUE)

    /** Number of records that are not stored. */
    public val unstoredCount: Int get() = unstored.size

    /** The row as it was last read or written. */
    public val storedRow: StoredAgentRow? get() = stored

    /** Adds a record that belongs to a request of [entry]. */
    public fun record(
        entry: Incarnation,
        item: UsageItem,
    ) {
        unstored += UnstoredItem(entry, item)
    }

    /** The last sequence of [entry] up to which all records are stored. */
    public fun storedSequence(entry: Incarnation): Long =
        stored
            ?.row
            ?.coverage
            ?.get(entry)
            ?.upTo ?: 0

    /**
     * The next flush at [wallMs], or null if there is nothing to write. A record goes into the window in which it
     * finished while that window is open, and afterwards into the current one, marked as late. A row is also written
     * when a window begins, so that the latest row is always near the current window.
     */
    public fun plan(wallMs: Long): FlushPlan? {
        val now = usageWindowOf(wallMs, lengthMs)
        val last = stored
        if (last == null || last.window >= now) return planFor(maxOf(now, last?.window ?: now), last)
        val hasItemsForLast = last.window > closedUpTo && unstored.any { windowOf(it) <= last.window }
        return if (hasItemsForLast) planFor(last.window, last) else planFor(now, last)
    }

    private fun planFor(
        window: UsageWindow,
        last: StoredAgentRow?,
    ): FlushPlan? {
        val items = unstored.filter { windowOf(it) <= window }
        val same = last?.takeIf { it.window == window }
        if (items.isEmpty() && same != null) return null
        val added = items.map { it.item.asCount(late = windowOf(it) < window) }
        val row =
            AgentUsageRow(
                nextFlushId(),
                coverageWith(last?.row?.coverage.orEmpty(), items),
                mergedCounts(same?.row?.counts.orEmpty() + added),
            )
        return FlushPlan(window, row, same?.rowVersion ?: 0, last.takeIf { same == null }, absentBefore(window, last))
    }

    /**
     * The windows that a first flush requires to have no row of the agent: an entry that took over records may have
     * created one in any window since the start.
     */
    private fun absentBefore(
        window: UsageWindow,
        last: StoredAgentRow?,
    ): List<UsageWindow> =
        if (last != null) {
            emptyList()
        } else {
            // Starts one window earlier, because the clocks of the agent and the entry may differ.
            val first = usageWindowOf(startMs - lengthMs, lengthMs)
            generateSequence(window.startMs - lengthMs) { it - lengthMs }
                .takeWhile { it >= first.startMs }
                .take(MAX_ABSENT_WINDOWS)
                .map(::UsageWindow)
                .toList()
        }

    /** The flush [plan] was applied; the row is now at [rowVersion]. */
    public fun onFlushed(
        plan: FlushPlan,
        rowVersion: Long,
    ): Unit = onRowRead(StoredAgentRow(plan.window, rowVersion, plan.current))

    /** The agent's latest row is [row]; the records that it covers are stored, by this agent or by an entry. */
    public fun onRowRead(row: StoredAgentRow?) {
        stored = row
        if (row != null) unstored.removeAll { it.item.sequence in (row.row.coverage[it.entry] ?: Coverage()) }
    }

    /** [window] is closed and accepts no more usage. */
    public fun onWindowClosed(window: UsageWindow) {
        closedUpTo = maxOf(closedUpTo, window)
    }

    private fun windowOf(it: UnstoredItem) = usageWindowOf(it.item.finishedAtMs, lengthMs)

    private fun coverageWith(
        coverage: Map<Incarnation, Coverage>,
        items: List<UnstoredItem>,
    ): Map<Incarnation, Coverage> =
        coverage +
            items.groupBy({ it.entry }, { it.item.sequence }).mapValues { (entry, sequences) ->
                (coverage[entry] ?: Coverage()).with(sequences)
            }
}
