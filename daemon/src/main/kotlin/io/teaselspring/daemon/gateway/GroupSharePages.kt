/*
 * Shares of instances of latency groups on the state page and in the metrics.
 */
package io.teaselspring.daemon.gateway

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.latencyGroupOf
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** The shares in force of all groups of each adaptive upstream with several groups. */
internal fun Gateway.groupShares(): Map<UpstreamName, List<Double>> {
    val config = config.current ?: return emptyMap()
    val upstreams = instances.all().mapTo(LinkedHashSet()) { it.registered.upstream }
    return upstreams
        .filter(shares.isAdaptive)
        .associateWith { latencyGroupOf(null, config.eventGapsOf(it)).count }
        .filterValues { it > 1 }
        .mapValues { (upstream, groups) ->
            val first = List(groups - 1) { shares.of(upstream).of(it) }
            first + (1 - first.sum())
        }
}

/** Adds the shares by upstream. */
internal fun JsonObjectBuilder.putGroupShares(shares: Map<UpstreamName, List<Double>>) {
    putJsonObject("latency_group_shares") {
        shares.forEach { (upstream, ofGroups) -> putJsonArray(upstream.value) { ofGroups.forEach { add(it) } } }
    }
}

/** Shows the [shares] of the latency groups. */
internal fun GatewayMetrics.observeGroupShares(shares: () -> Map<UpstreamName, List<Double>>) {
    GaugeWithCallback
        .builder()
        .name("teaselspring_latency_group_share")
        .help("Share of the instances of an adaptive upstream that its latency group has, by upstream and group")
        .labelNames("upstream", "group")
        .callback { gauge ->
            shares().forEach { (upstream, ofGroups) ->
                ofGroups.forEachIndexed { group, share -> gauge.call(share, upstream.value, group.toString()) }
            }
        }.register(registry)
}
