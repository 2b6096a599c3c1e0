/*
 * Service discovery of an agentless entry: follows the platform's table of upstream instances and applies it to the
 * registry in memory.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.InstanceId
import io.teaselspring.core.freshness.StoreGeneration
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.registry.InstanceRegistry
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.registry.RegistryChange
import io.teaselspring.ports.WatchedTable

/** Follows the [table] of upstream instances and passes it to [listener]. */
internal fun instanceFollower(
    table: WatchedTable<RegisteredInstance>,
    times: GatewayTimes,
    clock: () -> ClockReading,
    listener: TableListener<RegisteredInstance>,
    generation: StoreGeneration? = null,
): TableFollower<RegisteredInstance> {
    // A poll that waited for longer after the pause would notice a silent connection too late.
    val interval = times.registryInterval
    val followTimes = FollowTimes(wait = interval, interval, rowLifetime = times.instanceRowLifetime)
    return TableFollower("instances", table, followTimes, clock, listener, generation)
}

/** Applies rows to [registry] and passes the changes, possibly none, to [onChanges]. */
internal class RegistryListener(
    private val registry: InstanceRegistry,
    private val nowMs: () -> Long,
    private val onChanges: (List<RegistryChange>) -> Unit,
) : TableListener<RegisteredInstance> {
    override fun onSnapshot(
        rows: Map<String, RegisteredInstance?>,
        askedAt: ClockReading,
        gap: TableGap,
    ) {
        val mayMissRows = gap == TableGap.OUTAGE || gap == TableGap.RESTORE
        val byId = rows.mapKeys { InstanceId(it.key) }
        val now = nowMs()
        onChanges(registry.replace(byId, mayMissRows, now) + registry.applyLastingRows(now))
    }

    override fun onChanges(
        changes: Map<String, RegisteredInstance?>,
        askedAt: ClockReading,
    ) {
        val now = nowMs()
        val applied = changes.mapNotNull { (id, row) -> registry.update(InstanceId(id), row, now) }
        onChanges(applied + registry.applyLastingRows(now))
    }
}
