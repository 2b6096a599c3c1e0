/*
 * An entry that calls upstream instances without an agent: what its parts share. Everything runs on one event loop.
 */
package io.teaselspring.daemon.gateway

import io.netty.channel.EventLoop
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.retry.RetryBudget

/**
 * What a deployment fixes for an entry. Keyed requests are served while the configuration is known to be younger than
 * [keyFreshnessMs]; "unknown key" and "no route" are said while it is younger than [certainMs], and the entry counts as
 * ready while it is younger than [readyMs]. An entry's retries are [retrySharePct] percent of its successful requests,
 * and at least its share of [retryMinimum], which is for all entries, in a window of [retryWindowMs]. Until the number
 * of entries is known it is taken to be [assumedEntries].
 */
data class GatewaySettings(
    val instance: InstanceId,
    val dataCentre: DataCentre,
    val headers: HeaderNames,
    val keyFreshnessMs: Long = 4_700,
    val certainMs: Long = 1_500,
    val readyMs: Long = 3_000,
    val retrySharePct: Int = 10,
    val retryMinimum: Int = 25,
    val retryWindowMs: Long = 10_000,
    val assumedEntries: Int = 10,
)

/** Shared state of one entry. */
internal class Gateway(
    val settings: GatewaySettings,
    val loop: EventLoop,
    val nowMs: () -> Long,
    val config: ConfigState,
    val instances: UpstreamInstances,
    val metrics: GatewayMetrics,
    val usage: (OrganisationId) -> Unit,
    val entries: () -> Int,
    val random: (Int) -> Int,
) {
    val queues = StreamQueues(loop, nowMs, instances, entries)
    private val budgets = HashMap<UpstreamName, RetryBudget>()

    /** The planned stop, once it has begun; responses then end their connections. */
    var stop: PlannedStop? = null

    val isDraining: Boolean get() = stop != null

    /** Whether callers should be sent here. */
    val isReady: Boolean
        get() = !isDraining && instances.isKnown && config.ageMs().let { it != null && it < settings.readyMs }

    fun retryBudget(upstream: UpstreamName): RetryBudget =
        budgets.getOrPut(upstream) {
            RetryBudget(settings.retrySharePct, { settings.retryMinimum / entries() }, settings.retryWindowMs)
        }
}
