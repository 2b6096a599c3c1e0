/*
 * Partial membership mesh of the entries. Each entry opens links to a few random others, and configuration changes
 * spread by gossip, so the mesh has to be connected but not full: the keep-alives of a full mesh of 330 entries would
 * exceed the budget for control traffic.
 */
package io.teaselspring.daemon.membership

import io.teaselspring.core.InstanceId
import io.teaselspring.daemon.link.Link
import io.teaselspring.daemon.link.LinkContext
import io.teaselspring.daemon.link.maintainLink
import io.teaselspring.protocol.Message
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Number of links that an entry opens. On average, other entries open as many to it. */
const val OUTGOING_LINKS = 4

/** Maintains the links from [own] to other entries of [directory]. */
class EntryMesh(
    private val own: InstanceId,
    private val directory: Directory,
    private val peers: ControlPeers,
    private val random: Random,
) {
    /** Handles the messages of a link to another entry, opened by either side, until it closes. */
    suspend fun serve(link: Link) {
        directory.markPresent(link.peer.instance)
        val peer = PeerLink(link.peer.instance, link::offer)
        peers.onLinkOpened(peer)
        try {
            link.incoming.collect { message ->
                if (message == Message.Goodbye) {
                    directory.markDeparted(link.peer.instance)
                } else {
                    peers.onMessage(peer, message)
                }
            }
        } finally {
            peers.onLinkClosed(peer)
        }
    }

    /** Opens missing links and closes those to unlisted entries every [interval], until cancelled. */
    suspend fun run(
        context: LinkContext,
        interval: Duration = 1.seconds,
    ): Unit =
        coroutineScope {
            val connectJobs = HashMap<String, Job>()
            while (true) {
                val addresses = directory.entries().associateBy({ it.internalAddress }, { InstanceId(it.instance) })
                (connectJobs.keys - addresses.keys).forEach { connectJobs.remove(it)?.cancel() }
                openMissingLinks(this, context, addresses, connectJobs)
                delay(interval)
            }
        }

    private fun openMissingLinks(
        scope: CoroutineScope,
        context: LinkContext,
        addresses: Map<String, InstanceId>,
        connectJobs: MutableMap<String, Job>,
    ) {
        val linked = peers.linkedInstances()
        addresses
            .filter { (address, instance) ->
                address !in connectJobs && shouldConnect(instance, linked, addresses.size)
            }.keys
            .shuffled(random)
            .take((OUTGOING_LINKS - connectJobs.size).coerceAtLeast(0))
            .forEach { connectJobs[it] = scope.maintainLink(context, it, onLink = ::serve) }
    }

    /** In a small system, each pair of entries has one link, opened by the entry with the smaller name. */
    private fun shouldConnect(
        instance: InstanceId,
        linked: Set<InstanceId>,
        others: Int,
    ) = instance !in linked && (others > OUTGOING_LINKS || own.value < instance.value)
}
