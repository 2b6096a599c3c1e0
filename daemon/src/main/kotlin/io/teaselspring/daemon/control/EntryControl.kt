/*
 * The control side of one entry, put together: configuration, keys, membership and their loops.
 */
package io.teaselspring.daemon.control

import io.ktor.server.routing.Route
import io.teaselspring.core.DataCentre
import io.teaselspring.core.Incarnation
import io.teaselspring.core.InstanceId
import io.teaselspring.daemon.config.ConfigAcceptor
import io.teaselspring.daemon.config.ConfigExchange
import io.teaselspring.daemon.config.ConfigHolder
import io.teaselspring.daemon.config.ConfigSync
import io.teaselspring.daemon.config.ConfigTable
import io.teaselspring.daemon.keys.KeyService
import io.teaselspring.daemon.link.Link
import io.teaselspring.daemon.link.LinkContext
import io.teaselspring.daemon.membership.ControlPeers
import io.teaselspring.daemon.membership.Directory
import io.teaselspring.daemon.membership.EntryMesh
import io.teaselspring.daemon.membership.poll
import io.teaselspring.platform.Platform
import io.teaselspring.protocol.Message
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/** Who this entry is, and how long it serves without contact. */
data class ControlIdentity(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val dataCentre: DataCentre,
    val seeds: List<String> = emptyList(),
    val isolationLimit: Duration = 10.minutes,
)

/** The control side of an entry. Nothing runs before [start]. */
class EntryControl(
    identity: ControlIdentity,
    private val platform: Platform,
    clock: Clock = Clock.System,
    timeSource: TimeSource = TimeSource.Monotonic,
    private val random: Random = Random.Default,
) {
    /** What the request path reads. */
    val config = ConfigHolder(identity.dataCentre, clock, timeSource, identity.isolationLimit)

    /** The instances known. */
    val directory = Directory(identity.instance, identity.seeds)
    private val exchange = ConfigExchange(config, timeSource)
    private val peers = ControlPeers(config, exchange, random)
    private val mesh = EntryMesh(identity.instance, directory, peers, random)
    private val table = ConfigTable(platform.table, platform.objects)
    private val sync = ConfigSync(table, config)
    private val acceptor = ConfigAcceptor(table, sync, config, clock, random, peers::announce)
    private val keys = KeyService(acceptor, sync, config, clock)

    /** What keep-alive messages tell. */
    fun versions(): Message.Versions = exchange.versions()

    /** Serves a link to another entry until it closes. */
    suspend fun entryLink(link: Link) = mesh.serve(link)

    /** Starts the loops in [scope]; they end with the returned job. */
    fun start(
        scope: CoroutineScope,
        links: LinkContext,
    ): Job =
        scope.launch {
            launch { sync.run(random) }
            launch { peers.run() }
            launch { keys.run(random) }
            launch { directory.poll(platform.instances, random) }
            launch { mesh.run(links) }
        }

    /** Adds the operators' routes. */
    fun routes(route: Route) {
        route.configRoutes(config, acceptor)
        route.organisationRoutes(config, acceptor)
        route.keyRoutes(config, keys)
        route.documentRoutes(config)
    }
}
