/*
 * Bounded event queue of each running request: messages of its attempts, lost links and the withdrawal of its key.
 * Messages are routed by request id and the request checks the attempt number. Order is not kept across requests.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.KeyId
import io.teaselspring.core.RequestId
import io.teaselspring.daemon.receiveWithin
import io.teaselspring.protocol.CHUNK_WINDOW
import io.teaselspring.protocol.Message
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** An event of a request. */
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

/**
 * The event queue of one request. The flow-control window of the agent bounds it; an attempt whose agent exceeds the
 * window is cancelled.
 */
internal class Inbox(
    val keyId: KeyId?,
) {
    // Twice the window, because a resumed stream may start while chunks of the lost attempt are still queued.
    private val events = Channel<InboxEvent>(2 * CHUNK_WINDOW + 16)

    /** Adds [event]; returns false if the queue is full. */
    fun tryAdd(event: InboxEvent): Boolean = events.trySend(event).isSuccess

    /** Waits for the next event, at most for [timeout]. */
    suspend fun receive(timeout: Duration): InboxEvent? = events.receiveWithin(timeout)
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

    /** Adds [event] to the inbox of request [id]; returns false if the request has ended or its inbox is full. */
    fun deliver(
        id: RequestId,
        event: InboxEvent,
    ): Boolean = byRequest[id]?.tryAdd(event) ?: false

    /** Delivers [InboxEvent.KeyWithdrawn] to the requests that were authenticated with one of [keyIds]. */
    fun deliverWithdrawal(keyIds: Set<KeyId>) {
        byRequest.values.filter { it.keyId in keyIds }.forEach { it.tryAdd(InboxEvent.KeyWithdrawn) }
    }
}
