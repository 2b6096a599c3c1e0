/*
 * What one entry knows of the whole fleet: which agents it should be linked to, and the demand on each upstream,
 * extrapolated from the agents it is linked to.
 */
package io.teaselspring.daemon.control

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.choice.AgentView
import io.teaselspring.core.choice.agentSubset
import io.teaselspring.core.config.ConfigState
import io.teaselspring.core.config.Upstream
import io.teaselspring.core.config.siteConfig
import io.teaselspring.core.orders.UpstreamDemand
import io.teaselspring.daemon.orders.UpstreamSite
import io.teaselspring.ports.ListedInstance
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory
import kotlin.math.ceil
import kotlin.math.roundToInt

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.config")

/** Links to agents of one upstream for each model that it is configured with. */
private const val AGENTS_PER_MODEL = 6

/** The agents of [agents] that the entry [own] links to, by address. [modelCount] gives the models of an upstream. */
internal fun chosenAddresses(
    agents: List<ListedInstance>,
    own: InstanceId,
    localDataCentre: DataCentre,
    entryCount: Int,
    modelCount: (UpstreamName) -> Int,
): List<String> =
    agents
        .filter { it.upstream != null }
        .groupBy { UpstreamName(checkNotNull(it.upstream)) }
        .flatMap { (upstream, instances) ->
            // The list does not tell which agent has which model, so an upstream of several needs more agents.
            val minimum = AGENTS_PER_MODEL * maxOf(1, modelCount(upstream))
            val chosen = agentSubset(instances.map { it.asView(upstream) }, own, localDataCentre, entryCount, minimum)
            instances.filter { InstanceId(it.instance) in chosen }.map { it.internalAddress }
        }.distinct()

private fun ListedInstance.asView(upstream: UpstreamName) =
    AgentView(InstanceId(instance), DataCentre(dataCentre), upstream, emptySet())

/** All upstreams of all data centres of [dataCentres], as configured; none for a document that cannot be read. */
internal fun ConfigState.upstreamSites(dataCentres: Set<DataCentre>): Map<UpstreamSite, Upstream> =
    dataCentres
        .flatMap { dataCentre ->
            upstreamsOf(dataCentre).map { UpstreamSite(dataCentre, it.key) to it.value }
        }.toMap()

private fun ConfigState.upstreamsOf(dataCentre: DataCentre): Map<UpstreamName, Upstream> =
    try {
        siteConfig(dataCentre).upstreams
    } catch (e: SerializationException) {
        log.error("event=config_unreadable data_centre={} error=\"{}\"", dataCentre, e.message)
        emptyMap()
    }

/**
 * The demand on [site] when [listed] agents run it and [views] are those linked here; null if there are agents but none
 * is linked, because then nothing is known.
 */
internal fun demandOn(
    site: UpstreamSite,
    listed: List<ListedInstance>,
    views: List<AgentView>,
): UpstreamDemand? {
    val count = listed.count { it.upstream == site.upstream.value && it.dataCentre == site.dataCentre.value }
    val linked = views.filter { it.upstream == site.upstream && it.dataCentre == site.dataCentre }
    return when {
        linked.isEmpty() && count > 0 -> null
        linked.isEmpty() -> UpstreamDemand(0, 0, 1)
        else -> {
            val factor = maxOf(1.0, count.toDouble() / linked.size)
            UpstreamDemand(
                ceil(linked.sumOf { it.running } * factor).toInt(),
                ceil(linked.sumOf { it.queued } * factor).toInt(),
                linked.map { it.limit }.average().roundToInt(),
            )
        }
    }
}
