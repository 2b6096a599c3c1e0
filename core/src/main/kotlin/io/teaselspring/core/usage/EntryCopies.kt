/*
 * An entry's copies of usage records that their agents have not stored yet. When an agent is lost, the entry stores
 * its copies itself, in a transaction that also extends the coverage in the agent's last row.
 */
package io.teaselspring.core.usage

import io.teaselspring.core.Incarnation

/** The copies that an entry stores in place of [agent], whose row is [agentRow]. */
public data class Takeover(
    val agent: Incarnation,
    val agentRow: StoredAgentRow,
    val items: List<UsageItem>,
)

/** The copies of the entry [own]. An agent counts as lost after [lostAfterMs] without a link. */
public class EntryCopies(
    private val own: Incarnation,
    private val lostAfterMs: Long = 30_000,
) {
    private val items = HashMap<Incarnation, MutableList<UsageItem>>()
    private val linkLostAtMs = HashMap<Incarnation, Long>()

    /** Number of copies held. */
    public val copyCount: Int get() = items.values.sumOf { it.size }

    /** Adds a record that arrived from [agent]. */
    public fun add(
        agent: Incarnation,
        item: UsageItem,
    ) {
        linkLostAtMs.remove(agent)
        items.getOrPut(agent) { mutableListOf() } += item
    }

    /** Drops the copies of records that [agent] has stored: all up to [sequence]. */
    public fun onFlushed(
        agent: Incarnation,
        sequence: Long,
    ) {
        linkLostAtMs.remove(agent)
        dropCovered(agent, Coverage(sequence))
    }

    /** The link to [agent] was lost at [nowMs]. */
    public fun onLinkLost(
        agent: Incarnation,
        nowMs: Long,
    ) {
        if (agent in items) linkLostAtMs.putIfAbsent(agent, nowMs)
    }

    /** Agents that are lost at [nowMs] and have copies here. */
    public fun lostAgents(nowMs: Long): List<Incarnation> =
        linkLostAtMs.filter { nowMs - it.value >= lostAfterMs && it.key in items }.keys.toList()

    /** The copies to take over from [agent], whose latest row is [row]; null if the agent has stored them all. */
    public fun takeover(
        agent: Incarnation,
        row: StoredAgentRow,
    ): Takeover? {
        dropCovered(agent, row.row.coverage[own] ?: Coverage())
        return items[agent]?.let { Takeover(agent, row, it.toList()) }
    }

    /** Drops the copies of [takeover], which is stored. */
    public fun onTakeoverStored(takeover: Takeover) {
        val sequences = takeover.items.map { it.sequence }.toSet()
        drop(takeover.agent) { it.sequence in sequences }
    }

    /** The agent's row with the records of [takeover] covered. */
    public fun agentRowCovering(
        takeover: Takeover,
        flushId: String,
    ): AgentUsageRow {
        val row = takeover.agentRow.row
        val covered = (row.coverage[own] ?: Coverage()).with(takeover.items.map { it.sequence })
        return row.copy(flushId = flushId, coverage = row.coverage + (own to covered))
    }

    private fun dropCovered(
        agent: Incarnation,
        coverage: Coverage,
    ) = drop(agent) { it.sequence in coverage }

    private fun drop(
        agent: Incarnation,
        covered: (UsageItem) -> Boolean,
    ) {
        val kept = items[agent] ?: return
        kept.removeAll(covered)
        if (kept.isEmpty()) {
            items.remove(agent)
            linkLostAtMs.remove(agent)
        }
    }
}

/** The entry's row of [window] with the records of [takeover] added. */
public fun EntryUsageRow?.with(
    takeover: Takeover,
    window: UsageWindow,
    lengthMs: Long,
    flushId: String,
): EntryUsageRow {
    val added = takeover.items.map { it.asCount(late = usageWindowOf(it.finishedAtMs, lengthMs) < window) }
    return EntryUsageRow(flushId, mergedCounts(this?.counts.orEmpty() + added))
}
