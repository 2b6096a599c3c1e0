/*
 * Publishes the shares of instances of latency groups while this entry holds the usage lease. The demand comes from the
 * usage rows that it reads anyway. The write of the shares is a task of its own, so that it never delays usage reports.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.UpstreamName
import io.teaselspring.core.capacity.SharePlanner
import io.teaselspring.core.capacity.decodeDemand
import io.teaselspring.core.capacity.sumOfDemand
import io.teaselspring.core.placement.GroupShares
import io.teaselspring.core.usage.EntryUsageRow
import io.teaselspring.core.usage.UsageWindow
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.TableWrite
import io.teaselspring.ports.describe
import kotlinx.coroutines.channels.Channel
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** Publishes the shares of this entry's upstreams to [table] while it holds the lease of [usage], until cancelled. */
internal suspend fun Gateway.publishGroupShares(
    table: TableStore,
    usage: GatewayUsage,
): Nothing {
    val publisher = GroupSharePublisher(table, shares, instances::countOf, nowMs, usage::epochToSend)
    usage.onRows = publisher::record
    publisher.run()
}

/**
 * Publishes to [table] shares that differ from those in [state]. [epochToSend] returns the epoch of the usage lease
 * while this entry holds it, and [nowMs] is monotonic.
 */
internal class GroupSharePublisher(
    private val table: TableStore,
    private val state: GroupShareState,
    private val instancesOf: (UpstreamName) -> Int,
    private val nowMs: () -> Long,
    private val epochToSend: () -> Long?,
) {
    private var planner = SharePlanner()
    private var epoch: Long? = null
    private val recorded = Channel<Unit>(Channel.CONFLATED)

    /** Records the demand in the [rows] of all entries in [window], which is about to be reported. */
    fun record(
        window: UsageWindow,
        rows: Collection<EntryUsageRow>,
    ) {
        val held = epochToSend() ?: return
        if (held != epoch) {
            // Another entry may have held the lease meanwhile, so that the averages lack windows.
            planner = SharePlanner()
            epoch = held
        }
        val readable = rows.mapNotNull { row -> row.groups?.let { decodeDemand(it) ?: logUnreadable(window) } }
        planner.record(window, sumOfDemand(readable))
        recorded.trySend(Unit)
    }

    private fun logUnreadable(window: UsageWindow): Nothing? {
        log.warn("event=group_demand_unreadable window={}", window.id)
        return null
    }

    /** Publishes after each recorded window, until cancelled. A failed write is repeated after a later window. */
    suspend fun run(): Nothing {
        while (true) {
            recorded.receive()
            publish()
        }
    }

    suspend fun publish() {
        planner
            .plan(nowMs(), instancesOf, state::followed)
            .filterKeys(state.isAdaptive)
            .forEach { (upstream, shares) -> store(upstream, shares) }
    }

    private suspend fun store(
        upstream: UpstreamName,
        shares: GroupShares,
    ) {
        val held = epochToSend()
        if (held == null || held != epoch) return
        val row = TableWrite(SHARED_TABLE, "$GROUPS_KEY_PREFIX$upstream", ifVersion = null, encodeShares(shares, held))
        table.transaction(listOf(row)).fold(
            { log.warn("event=group_shares_not_stored upstream={} {}", upstream, it.describe()) },
            { log.info("event=group_shares_stored upstream={} shares={} epoch={}", upstream, shares.fractions, held) },
        )
    }
}
