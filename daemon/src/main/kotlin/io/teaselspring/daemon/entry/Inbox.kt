/*
 * What one request on an entry waits for: messages of its attempts, lost links and the withdrawal of its key.
 * Messages find their request by id, and the request checks the attempt; the order of arrival across requests means
 * nothing.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.KeyId
import io.teaselspring.core.RequestId
import io.teaselspring.protocol.CHUNK_WINDOW
import io.teaselspring.protocol.Message
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.ConcurrentHashMap

/** One thing that happened to a request. */
internal sealed interface InboxEvent {
    /** The agent of [attempt] sent [message]. */
    data class FromAgent(
        val attempt: Int,
        val message: Message,
    ) : InboxEvent

    /** The link to the agent of [attempt] is closed. */
    data class AgentLost(
        val attempt: Int,
    ) : InboxEvent

    /** The key of the request was withdrawn. */
    data object KeyWithdrawn : InboxEvent
}

/** The events of one request. The agent's window bounds them, and an agent that ignores it is treated as lost. */
internal class Inbox(
    val keyId: KeyId?,
) {
    // Twice the window, because a resumed stream may begin while chunks of the lost attempt are still queued.
    private val events = Channel<InboxEvent>(2 * CHUNK_WINDOW + 16)

    /** Adds [event]; false if the inbox is full. */
    fun offer(event: InboxEvent): Boolean = events.trySend(event).isSuccess

    suspend fun receive(): InboxEvent = events.receive()
}

/** The inboxes of all requests that run on this entry. */
internal class Inboxes {
    private val byRequest = ConcurrentHashMap<RequestId, Inbox>()

    val size: Int get() = byRequest.size

    fun open(
        id: RequestId,
        keyId: KeyId?,
    ): Inbox = Inbox(keyId).also { byRequest[id] = it }

    fun close(id: RequestId) {
        byRequest.remove(id)
    }

    /** Passes [event] on; false if the request has ended or its inbox is full. */
    fun deliver(
        id: RequestId,
        event: InboxEvent,
    ): Boolean = byRequest[id]?.offer(event) ?: false

    fun withdraw(keyIds: Set<KeyId>) {
        byRequest.values.filter { it.keyId in keyIds }.forEach { it.offer(InboxEvent.KeyWithdrawn) }
    }
}
