/*
 * The open links of this entry to other entries. Configuration changes and withdrawals are exchanged over them;
 * agents get withdrawals from the request path.
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

/** Entries told of a new version, and entries asked each second. */
private const val FAN_OUT = 3

/** An open link to [instance]; [offer] queues a message without waiting. */
class PeerLink(
    val instance: InstanceId,
    val offer: (Message) -> Boolean,
)

/** The links of one process. All functions may be called from any thread. */
class ControlPeers(
    private val holder: ConfigHolder,
    private val exchange: ConfigExchange,
    private val random: Random,
) {
    // In the order in which they opened, so that a seeded run chooses the same ones each time.
    private val links = CopyOnWriteArrayList<PeerLink>()

    /** The entries that have an open link. */
    fun linked(): Set<InstanceId> = links.map { it.instance }.toSet()

    /** A link has opened. */
    fun opened(link: PeerLink) {
        links += link
        link.offer(exchange.versions())
    }

    /** A link has closed. */
    fun closed(link: PeerLink) {
        links -= link
        if (links.none { it.instance == link.instance }) exchange.forget(link.instance)
    }

    /** Handles a message; those that do not concern the configuration are ignored. */
    fun received(
        link: PeerLink,
        message: Message,
    ) {
        val result = exchange.onMessage(link.instance, message)
        result.replies.forEach { link.offer(it) }
        if (result.hasNewConfig) announce()
    }

    /** Tells all linked entries that this process leaves. */
    fun sendGoodbye() = links.forEach { it.offer(Message.Goodbye) }

    /** Tells a few random entries what this process knows. */
    fun announce() {
        val versions = exchange.versions()
        links
            .shuffled(random)
            .take(FAN_OUT)
            .forEach { it.offer(versions) }
    }

    /** Pushes withdrawals as they become known and exchanges versions every [interval], until cancelled. */
    suspend fun run(interval: Duration = 1.seconds): Unit =
        coroutineScope {
            launch {
                holder.withdrawals.collect { ids ->
                    val message = Message.KeysWithdrawn(ids.toList())
                    links.forEach { it.offer(message) }
                }
            }
            while (true) {
                announce()
                delay(interval * random.nextDouble(0.9, 1.1))
            }
        }
}
