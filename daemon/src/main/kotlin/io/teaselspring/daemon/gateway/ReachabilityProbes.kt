/*
 * Finds out when an unreachable data centre can be reached again, without spending a request on it: opens connections
 * to its instances in turn. The first is tried at once, at another instance than the one that timed out, so that one
 * dark machine keeps no requests from its data centre for longer than a round trip.
 */
package io.teaselspring.daemon.gateway

import io.netty.channel.EventLoop
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.registry.RegisteredInstance
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tries a connection to an address, "IP:port", and passes on whether its host is there. */
internal typealias CheckReachable = (address: String, onResult: (isReachable: Boolean) -> Unit) -> Unit

/** Probes the data centres of [instances] that are unreachable, [interval] after each attempt that failed. */
internal class ReachabilityProbes(
    private val loop: EventLoop,
    private val instances: UpstreamInstances,
    private val check: CheckReachable,
    private val interval: Duration = 250.milliseconds,
) {
    private val dataCentres = instances.dataCentres

    /** Probes each data centre from the moment when it becomes unreachable. */
    fun start() {
        dataCentres.onUnreachable = { probe(it.dataCentre, it.id) }
    }

    private fun probe(
        dataCentre: DataCentre,
        last: InstanceId,
    ) {
        if (dataCentre !in dataCentres.unreachable) return
        val next = if (dataCentre in dataCentres.evacuated) null else instanceAfter(last, dataCentre)
        if (next == null) {
            // The next request there finds out by itself.
            dataCentres.forgetUnreachable(dataCentre)
            return
        }
        check(next.address) { isReachable ->
            if (isReachable) {
                dataCentres.recordContact(dataCentre, instances.nowMs())
            } else {
                loop.schedule({ probe(dataCentre, next.id) }, interval.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            }
        }
    }

    private fun instanceAfter(
        last: InstanceId,
        dataCentre: DataCentre,
    ): RegisteredInstance? {
        val there = instances.all().map { it.registered }.filter { it.dataCentre == dataCentre }
        return there.getOrNull((there.indexOfFirst { it.id == last } + 1) % maxOf(1, there.size))
    }
}
