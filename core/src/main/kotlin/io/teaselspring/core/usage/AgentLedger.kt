/*
 * The usage of one agent that is not stored yet, and the row that it is stored in. A flush writes the agent's row
 * under the condition that it is unchanged since it was last read. An entry that takes over records of an agent it
 * believes gone changes that row too, so of both exactly one stores a record, whoever is slow or wrong.
 */
package io.teaselspring.core.usage

import io.teaselspring.core.Incarnation

/** The agent's row as it is stored: in [window] at [rowVersion], 0 if there is none yet. */
public data class StoredAgentRow(
    val window: UsageWindow,
    val rowVersion: Long,
    val row: AgentUsageRow,
)

/**
 * One flush, a transaction: [current] becomes the row of [window] under the condition of [currentVersion], and unless
 * null [previous] is written back as it was, so that no other process can change the old row at the same time. The
 * transaction must also check that [window] is not closed, and that the agent has no row in [absent] windows.
 */
public data class FlushPlan(
    val window: UsageWindow,
    val current: AgentUsageRow,
    val currentVersion: Long,
    val previous: StoredAgentRow?,
    val absent: List<UsageWindow> = emptyList(),
)

/** Bounds the size of the transaction; more windows pass only in an outage of days. */
private const val MAX_ABSENT = 100

private data class OpenItem(
    val entry: Incarnation,
    val item: UsageItem,
)

/** The ledger of one agent that started at [startMs]. [lengthMs] is the length of a window. Not thread-safe. */
public class AgentLedger(
    private val lengthMs: Long,
    private val startMs: Long,
    private val nextFlushId: () -> String,
) {
    private val open = mutableListOf<OpenItem>()
    private var stored: StoredAgentRow? = null
    private var closedUpTo = UsageWindow(Long.MIN_VALUE)

    /** Number of records that are not stored. */
    public val openCount: Int get() = open.size

    /** The row as it was last read or written. */
    public val storedRow: StoredAgentRow? get() = stored

    /** Adds a record of [entry]. */
    public fun record(
        entry: Incarnation,
        item: UsageItem,
    ) {
        open += OpenItem(entry, item)
    }

    /** The last sequence of [entry] up to which all records are stored. */
    public fun storedSequence(entry: Incarnation): Long =
        stored
            ?.row
            ?.coverage
            ?.get(entry)
            ?.upTo ?: 0

    /**
     * The next flush at [wallMs], or null if nothing is to be written. Records go into the window in which they
     * finished while that is open, later into the current one, marked as late. A row is also written when a window
     * begins, so that the latest row is always found near the current window.
     */
    public fun plan(wallMs: Long): FlushPlan? {
        val now = usageWindowOf(wallMs, lengthMs)
        val last = stored
        if (last == null || last.window >= now) return planFor(maxOf(now, last?.window ?: now), last)
        val mayFinish = last.window > closedUpTo && open.any { windowOf(it) <= last.window }
        return if (mayFinish) planFor(last.window, last) else planFor(now, last)
    }

    private fun planFor(
        window: UsageWindow,
        last: StoredAgentRow?,
    ): FlushPlan? {
        val items = open.filter { windowOf(it) <= window }
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

    /** Before its first row, an entry that took over records may have made one in any window since the start. */
    private fun absentBefore(
        window: UsageWindow,
        last: StoredAgentRow?,
    ): List<UsageWindow> =
        if (last != null) {
            emptyList()
        } else {
            // One window earlier, because the clocks of the two may differ.
            val first = usageWindowOf(startMs - lengthMs, lengthMs)
            generateSequence(window.startMs - lengthMs) { it - lengthMs }
                .takeWhile { it >= first.startMs }
                .take(MAX_ABSENT)
                .map(::UsageWindow)
                .toList()
        }

    /** The flush was applied; the row now has [rowVersion]. */
    public fun written(
        plan: FlushPlan,
        rowVersion: Long,
    ): Unit = adopt(StoredAgentRow(plan.window, rowVersion, plan.current))

    /** The agent's latest row is [row]; records that it covers are stored, by whichever process. */
    public fun adopt(row: StoredAgentRow?) {
        stored = row
        if (row != null) open.removeAll { it.item.sequence in (row.row.coverage[it.entry] ?: Coverage()) }
    }

    /** [window] takes no more usage. */
    public fun closed(window: UsageWindow) {
        closedUpTo = maxOf(closedUpTo, window)
    }

    private fun windowOf(it: OpenItem) = usageWindowOf(it.item.finishedAtMs, lengthMs)

    private fun coverageWith(
        coverage: Map<Incarnation, Coverage>,
        items: List<OpenItem>,
    ): Map<Incarnation, Coverage> =
        coverage +
            items.groupBy({ it.entry }, { it.item.sequence }).mapValues { (entry, sequences) ->
                (coverage[entry] ?: Coverage()).with(sequences)
            }
}
