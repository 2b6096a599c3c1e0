/*
 * The control side of one entry, put together: configuration, keys, membership, outcomes, usage, leases and orders.
 */
package io.teaselspring.daemon.control

import io.ktor.server.routing.Route
import io.teaselspring.core.DataCentre
import io.teaselspring.core.Incarnation
import io.teaselspring.core.InstanceId
import io.teaselspring.core.choice.AgentView
import io.teaselspring.core.orders.ScalingPolicy
import io.teaselspring.daemon.config.ConfigAcceptor
import io.teaselspring.daemon.config.ConfigExchange
import io.teaselspring.daemon.config.ConfigHolder
import io.teaselspring.daemon.config.ConfigSync
import io.teaselspring.daemon.config.ConfigTable
import io.teaselspring.daemon.keys.KeyService
import io.teaselspring.daemon.launchRestarting
import io.teaselspring.daemon.lease.LeaseKeeper
import io.teaselspring.daemon.link.Link
import io.teaselspring.daemon.link.LinkContext
import io.teaselspring.daemon.membership.ControlPeers
import io.teaselspring.daemon.membership.Directory
import io.teaselspring.daemon.membership.EntryMesh
import io.teaselspring.daemon.membership.poll
import io.teaselspring.daemon.milliseconds
import io.teaselspring.daemon.orders.ORDERS_LEASE
import io.teaselspring.daemon.orders.OrderInputs
import io.teaselspring.daemon.orders.OrderLoop
import io.teaselspring.daemon.outcome.TableOutcomeStore
import io.teaselspring.daemon.usage.EntryUsage
import io.teaselspring.daemon.usage.USAGE_LEASE
import io.teaselspring.daemon.usage.UsageReporter
import io.teaselspring.daemon.usage.UsageTable
import io.teaselspring.ports.Platform
import io.teaselspring.protocol.Message
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Who this entry is, how long it serves without contact, and the length of a usage window, which must be the same in
 * all processes.
 */
data class ControlIdentity(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val dataCentre: DataCentre,
    val seeds: List<String> = emptyList(),
    val isolationLimit: Duration = 10.minutes,
    val usageWindow: Duration = 1.hours,
)

/** The control side of an entry. Nothing runs before [start]. */
class EntryControl(
    private val identity: ControlIdentity,
    private val platform: Platform,
    private val clock: Clock = Clock.System,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val random: Random = Random.Default,
) {
    /** What the request path reads. */
    val config = ConfigHolder(identity.dataCentre, clock, timeSource, identity.isolationLimit)

    /** The instances known. */
    val directory = Directory(identity.instance, identity.seeds)

    /** Claims and outcomes of requests with an idempotency key. */
    val outcomes = TableOutcomeStore(platform.table, identity.incarnation, clock)
    private val windowMs = identity.usageWindow.inWholeMilliseconds
    private val usageTable = UsageTable(platform.table)

    /** Takes the usage that the request path learns of. */
    val usage = EntryUsage(identity.incarnation, usageTable, clock, timeSource.milliseconds(), windowMs)
    private val usageLease = leaseKeeper(USAGE_LEASE)
    private val reporter =
        UsageReporter(identity.incarnation, usageTable, platform.usage, clock, usageLease::epochToSend, windowMs)
    private val ordersLease = leaseKeeper(ORDERS_LEASE)
    private val exchange = ConfigExchange(config, timeSource)
    private val peers = ControlPeers(config, exchange, random)
    private val mesh = EntryMesh(identity.instance, directory, peers, random)
    private val table = ConfigTable(platform.table, platform.objects)
    private val sync = ConfigSync(table, config)
    private val acceptor = ConfigAcceptor(table, sync, config, clock, random, peers::announceVersions)
    private val keys = KeyService(acceptor, sync, config, clock)
    private var loops: Job? = null

    /** What keep-alive messages tell. */
    fun versions(): Message.Versions = exchange.versions()

    /** Internal addresses of the agents that this entry should be linked to. */
    fun agentAddresses(): List<String> {
        val agents = directory.agents() ?: return identity.seeds
        val upstreams = config.view.value.site.upstreams
        return chosenAddresses(agents, identity.instance, identity.dataCentre, directory.entries().size + 1) {
            upstreams[it]?.models?.size ?: 1
        }
    }

    /** Serves a link to another entry until it closes. */
    suspend fun entryLink(link: Link) = mesh.serve(link)

    /** Starts the loops in [scope]; they end with the returned job. [views] are the linked agents with their load. */
    fun start(
        scope: CoroutineScope,
        links: LinkContext,
        views: () -> List<AgentView> = { emptyList() },
    ): Job {
        val orders = orderLoop(views)
        return scope
            .launch {
                launchRestarting("config_sync") { sync.run(random) }
                launchRestarting("peer_exchange") { peers.run() }
                launchRestarting("key_sync") { keys.run(random) }
                launchRestarting("directory") { directory.poll(platform.instances, random) }
                launchRestarting("entry_mesh") { mesh.run(links) }
                launchRestarting("usage") { usage.run(random) }
                launchRestarting("usage_lease") { usageLease.run() }
                launchRestarting("usage_reporter") { reporter.run() }
                launchRestarting("orders_lease") { ordersLease.run() }
                launchRestarting("orders") { orders.run() }
            }.also { loops = it }
    }

    /** Tells other entries that this one leaves. */
    fun leave() = peers.sendGoodbye()

    /** Ends the loops and gives the leases up; gives up waiting for the store after [limit]. */
    suspend fun stop(limit: Duration = 4.seconds) {
        loops?.cancel()
        withTimeoutOrNull(limit) {
            coroutineScope {
                launch { usageLease.resign() }
                launch { ordersLease.resign() }
                launch { usage.takeOverLostAgents() }
            }
        }
    }

    /** Adds the operators' routes. */
    fun routes(route: Route) {
        route.configRoutes(config, acceptor, table)
        route.organisationRoutes(config, acceptor)
        route.keyRoutes(config, keys)
        route.documentRoutes(config)
        route.usageRoutes(usageTable, clock, windowMs)
        route.statusRoutes(
            StatusParts(config, directory, peers, usage, listOf(usageLease, ordersLease), platform.table),
        )
    }

    private fun leaseKeeper(name: String) = LeaseKeeper(name, identity.incarnation, platform.table, clock, timeSource)

    private fun orderLoop(views: () -> List<AgentView>): OrderLoop {
        val inputs =
            OrderInputs(
                upstreams = { config.state.upstreamSites(dataCentres()) },
                demand = { site -> demandOn(site, directory.agents().orEmpty(), views()) },
                policy = { ScalingPolicy(maxStep = config.view.value.site.limits.maxOrderStep) },
            )
        val nowMs = timeSource.milliseconds()
        return OrderLoop(
            identity.incarnation,
            platform.table,
            platform.orders,
            inputs,
            clock,
            nowMs,
            ordersLease::epochToSend,
        )
    }

    private fun dataCentres(): Set<DataCentre> =
        config.state.overlays.keys + identity.dataCentre + directory.live().map { DataCentre(it.dataCentre) }
}
