/*
 * Links from this entry to a few others. Changes travel from entry to entry over them, so they need only connect all
 * entries, not each pair: the keep-alives of a full mesh of 330 entries would exceed the budget for control traffic.
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

/** Links that an entry opens by itself; as many on average are opened to it. */
const val OUTGOING_LINKS = 4

/** The links of [own] to other entries of [directory]. */
class EntryMesh(
    private val own: InstanceId,
    private val directory: Directory,
    private val peers: ControlPeers,
    private val random: Random,
) {
    /** Serves a link to another entry, whoever opened it, until it closes. */
    suspend fun serve(link: Link) {
        directory.arrived(link.peer.instance)
        val peer = PeerLink(link.peer.instance, link::offer)
        peers.opened(peer)
        try {
            link.incoming.collect { message ->
                if (message == Message.Goodbye) directory.left(link.peer.instance) else peers.received(peer, message)
            }
        } finally {
            peers.closed(peer)
        }
    }

    /** Keeps the mesh connected until cancelled. */
    suspend fun run(
        context: LinkContext,
        interval: Duration = 1.seconds,
    ): Unit =
        coroutineScope {
            val connecting = HashMap<String, Job>()
            while (true) {
                val addresses = directory.entries().associateBy({ it.internalAddress }, { InstanceId(it.instance) })
                (connecting.keys - addresses.keys).forEach { connecting.remove(it)?.cancel() }
                connectMore(this, context, addresses, connecting)
                delay(interval)
            }
        }

    private fun connectMore(
        scope: CoroutineScope,
        context: LinkContext,
        addresses: Map<String, InstanceId>,
        connecting: MutableMap<String, Job>,
    ) {
        val linked = peers.linked()
        addresses
            .filter { (address, instance) -> address !in connecting && mayConnect(instance, linked, addresses.size) }
            .keys
            .shuffled(random)
            .take((OUTGOING_LINKS - connecting.size).coerceAtLeast(0))
            .forEach { connecting[it] = scope.maintainLink(context, it, onLink = ::serve) }
    }

    /** In a small system each pair gets one link, opened by the one whose name is smaller. */
    private fun mayConnect(
        instance: InstanceId,
        linked: Set<InstanceId>,
        others: Int,
    ) = instance !in linked && (others > OUTGOING_LINKS || own.value < instance.value)
}
