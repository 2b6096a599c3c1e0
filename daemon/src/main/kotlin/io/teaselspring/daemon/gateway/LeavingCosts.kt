/*
 * What this entry knows of the cost of other data centres: round trips, measured when connections are opened, and the
 * usual time and size of responses of each upstream. All of it is in memory and learned anew after a start.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.DataCentre
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.LeavingContext
import io.teaselspring.core.placement.LeavingPolicy

/** Costs for an entry in [home], one of [entries]. Only upstreams that are [isTimed] have a context. */
internal class LeavingCosts(
    private val home: DataCentre,
    private val entries: () -> Int,
    private val isTimed: (UpstreamName) -> Boolean,
    private val policy: LeavingPolicy,
) {
    private class Usual(
        var serviceMs: Double,
        var bytes: Double,
    )

    private val usualByUpstream = HashMap<UpstreamName, Usual>()

    /** Records a complete exchange of [bytes] in both directions that took [durationMs]. */
    fun record(
        upstream: UpstreamName,
        durationMs: Long,
        bytes: Int,
    ) {
        val usual = usualByUpstream.getOrPut(upstream) { Usual(durationMs.toDouble(), bytes.toDouble()) }
        usual.serviceMs += (durationMs - usual.serviceMs) * WEIGHT
        usual.bytes += (bytes - usual.bytes) * WEIGHT
    }

    /** The context of a choice among [instances] of [upstream]; null if it is not timed or nothing is known of it. */
    fun contextFor(
        upstream: UpstreamName,
        instances: List<UpstreamInstance>,
    ): LeavingContext? {
        if (!isTimed(upstream)) return null
        val usual = usualByUpstream[upstream] ?: return null
        val connectMs = instances.groupBy({ it.registered.dataCentre }, { it.server.connectMs })
        val homeMs = connectMs[home].meanMs() ?: 0.0
        return LeavingContext(home, entries(), usual.serviceMs, policy) { dataCentre ->
            policy.costMs(maxOf(0.0, (connectMs[dataCentre].meanMs() ?: homeMs) - homeMs), usual.bytes)
        }
    }

    private fun List<Double?>?.meanMs(): Double? = orEmpty().filterNotNull().takeIf { it.isNotEmpty() }?.average()

    private companion object {
        const val WEIGHT = 0.05
    }
}
