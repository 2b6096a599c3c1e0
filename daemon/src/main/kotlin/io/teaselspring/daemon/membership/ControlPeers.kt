/*
 * Gossip between entries: exchanges configuration versions and withdrawn keys over the open links to other entries.
 * Agents receive withdrawn keys on the request path instead.
 */
package io.teaselspring.daemon.membership

import io.teaselspring.core.InstanceId
import io.teaselspring.daemon.config.ConfigExchange
import io.teaselspring.daemon.config.ConfigHolder
import io.teaselspring.protocol.Message
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Number of random entries that each announcement of versions is sent to. */
private const val FAN_OUT = 3

/** An open link to [instance]. [offer] queues a message without blocking. */
class PeerLink(
    val instance: InstanceId,
    val offer: (Message) -> Boolean,
)

/** The links of one process to other entries. Thread-safe. */
class ControlPeers(
    private val holder: ConfigHolder,
    private val exchange: ConfigExchange,
    private val random: Random,
) {
    // In the order of opening, so that runs with the same seed choose the same links.
    private val links = CopyOnWriteArrayList<PeerLink>()

    /** Returns the entries that have an open link. */
    fun linkedInstances(): Set<InstanceId> = links.map { it.instance }.toSet()

    /** Adds a link and sends the own versions over it. */
    fun onLinkOpened(link: PeerLink) {
        links += link
        link.offer(exchange.versions())
    }

    /** Removes a link, and the exchange state of its entry if that was the last link to it. */
    fun onLinkClosed(link: PeerLink) {
        links -= link
        if (links.none { it.instance == link.instance }) exchange.forget(link.instance)
    }

    /** Handles a configuration message and sends the replies. Other messages are ignored. */
    fun onMessage(
        link: PeerLink,
        message: Message,
    ) {
        val result = exchange.onMessage(link.instance, message)
        result.replies.forEach { link.offer(it) }
        if (result.hasNewConfig) announceVersions()
    }

    /** Tells all linked entries that this process shuts down. */
    fun sendGoodbye() = links.forEach { it.offer(Message.Goodbye) }

    /** Sends the versions of this process to [FAN_OUT] random linked entries. */
    fun announceVersions() {
        val versions = exchange.versions()
        links
            .shuffled(random)
            .take(FAN_OUT)
            .forEach { it.offer(versions) }
    }

    /** Sends withdrawn keys to all links at once and announces versions every [interval], until cancelled. */
    suspend fun run(interval: Duration = 1.seconds): Unit =
        coroutineScope {
            launch {
                holder.withdrawals.collect { ids ->
                    val message = Message.KeysWithdrawn(ids.toList())
                    links.forEach { it.offer(message) }
                }
            }
            while (true) {
                announceVersions()
                delay(interval * random.nextDouble(0.9, 1.1))
            }
        }
}
