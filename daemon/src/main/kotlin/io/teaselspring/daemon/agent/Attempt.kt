/*
 * One attempt to run a request on an agent, with its flow-control window towards the entry, the results of its runs,
 * and the events of the agent's event loop.
 */
package io.teaselspring.daemon.agent

import io.teaselspring.core.admission.AttemptId
import io.teaselspring.core.admission.StopCause
import io.teaselspring.daemon.gateway.ByteBudget
import io.teaselspring.daemon.link.Link
import io.teaselspring.protocol.CHUNK_WINDOW
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.RequestKind
import kotlinx.coroutines.Job
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first

/** The link to one entry. [lastLoadMs] is when the last load report was sent on it. */
internal class EntrySession(
    val link: Link,
) {
    var lastLoadMs = Long.MIN_VALUE / 2
}

/**
 * One offered attempt. The event loop owns [memory], [job], [stopCause] and [starts], the number of times that the
 * attempt was started on the upstream; the active run owns the offsets and token counts.
 */
internal class Attempt(
    val session: EntrySession,
    val submit: Message.Submit,
    private val memory: ByteBudget.Share? = null,
) {
    val id = AttemptId(submit.requestId, submit.attempt)

    /** The entry has acknowledged all chunks before this offset. */
    private val acknowledgedOffset = MutableStateFlow(submit.resumeOffset)

    var job: Job? = null
    var stopCause: StopCause? = null
    var starts = 0

    @Volatile
    var nextOffset = submit.resumeOffset

    @Volatile
    var startedSent = false

    @Volatile
    var promptTokens = 0L

    @Volatile
    var completionTokens = 0L

    /** A plain request that is not idempotent is not cancelled once it has started, even if its entry's link closes. */
    val mustRunToCompletion: Boolean get() = submit.kind == RequestKind.HTTP && !submit.idempotent

    /** Takes the memory for the request's body and its response; returns false if it is not there. */
    fun reserveMemory(): Boolean = memory?.grow(submit.body.size + RESPONSE_BYTES) ?: true

    /** Gives the memory back; may be called more than once. */
    fun releaseMemory() = memory?.release()

    fun acknowledge(nextOffset: Long) {
        if (nextOffset > acknowledgedOffset.value) acknowledgedOffset.value = nextOffset
    }

    /** Opens the window for good, because no further acknowledgement can arrive after the link has closed. */
    fun disableFlowControl() = acknowledge(Long.MAX_VALUE / 2)

    /** Sends [bytes] as the next chunk once the flow-control window allows it; false if the entry's link is closed. */
    suspend fun sendChunk(bytes: ByteArray): Boolean {
        val offset = nextOffset
        if (offset - acknowledgedOffset.value >= CHUNK_WINDOW) {
            acknowledgedOffset.first { offset - it < CHUNK_WINDOW }
        }
        nextOffset = offset + 1
        return session.link.send(Message.Chunk(submit.requestId, submit.attempt, offset, bytes))
    }

    private companion object {
        /** What a response keeps: reading stops at each chunk until the link has taken it, and a read is this long. */
        const val RESPONSE_BYTES = 64L * 1024
    }
}

/** The result of a run on the upstream. The names of the subclasses are values of a metric label. */
internal sealed interface RunResult {
    /** The complete response was sent to the entry. */
    data object Complete : RunResult

    /** No byte of the request reached the upstream. */
    data class NotSent(
        val detail: String,
    ) : RunResult

    /** The upstream refused the request before executing it. */
    data class RefusedByUpstream(
        val retryAfterMs: Long,
    ) : RunResult

    /** The response ended early or violates the protocol. */
    data class Broken(
        val detail: String,
    ) : RunResult

    /** The run was cancelled by the event loop, or stopped because the entry's link is closed. */
    data object Stopped : RunResult
}

/** An event of the agent's event loop. */
internal sealed interface AgentEvent {
    data class LinkOpened(
        val session: EntrySession,
    ) : AgentEvent

    data class MessageReceived(
        val session: EntrySession,
        val message: Message,
    ) : AgentEvent

    data class LinkClosed(
        val session: EntrySession,
    ) : AgentEvent

    data class TokensProduced(
        val id: AttemptId,
        val count: Int,
    ) : AgentEvent

    data class RunEnded(
        val attempt: Attempt,
        val result: RunResult,
    ) : AgentEvent

    data class UpstreamReachability(
        val reachable: Boolean,
    ) : AgentEvent

    /**
     * The [process] of the upstream said in a response that it [isLeaving], or refused with [retryAfter], the values of
     * `Retry-After`. Neither means that the process is new. A later process has a higher number.
     */
    data class UpstreamStated(
        val process: Int,
        val isLeaving: Boolean,
        val retryAfter: List<String>,
    ) : AgentEvent

    data object Drain : AgentEvent

    data object Tick : AgentEvent
}
