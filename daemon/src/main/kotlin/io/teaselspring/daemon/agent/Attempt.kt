/*
 * One attempt on an agent, the events by which the agent's loop learns what happens to it, and its link to the entry.
 */
package io.teaselspring.daemon.agent

import io.teaselspring.core.admission.AttemptId
import io.teaselspring.core.admission.StopCause
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
 * One accepted attempt. The loop owns [job], [stopCause] and [starts], the number of times that it was started on the
 * upstream; the run that is under way owns the offsets and token counts.
 */
internal class Attempt(
    val session: EntrySession,
    val submit: Message.Submit,
) {
    val id = AttemptId(submit.requestId, submit.attempt)

    /** Chunks before this offset were reported as received by the entry. */
    private val received = MutableStateFlow(submit.resumeOffset)

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

    /** A call that is not idempotent runs to its end once it has started, even if nobody waits for it. */
    val runsToItsEnd: Boolean get() = submit.kind == RequestKind.HTTP && !submit.idempotent

    fun received(nextOffset: Long) {
        if (nextOffset > received.value) received.value = nextOffset
    }

    /** Nobody will report chunks as received any more. */
    fun entryLost() = received(Long.MAX_VALUE / 2)

    /** Sends [bytes] as the next chunk, after waiting for the window; false if the entry's link is closed. */
    suspend fun sendChunk(bytes: ByteArray): Boolean {
        val offset = nextOffset
        if (offset - received.value >= CHUNK_WINDOW) received.first { offset - it < CHUNK_WINDOW }
        nextOffset = offset + 1
        return session.link.send(Message.Chunk(submit.requestId, submit.attempt, offset, bytes))
    }
}

/** How a run on the upstream ended. */
internal sealed interface RunResult {
    /** The whole response was sent. */
    data object Complete : RunResult

    /** No byte reached the upstream. */
    data class NotSent(
        val detail: String,
    ) : RunResult

    /** The engine refused the request before running it. */
    data class RefusedByUpstream(
        val retryAfterMs: Long,
    ) : RunResult

    /** The response broke off or does not keep to the protocol. */
    data class Broken(
        val detail: String,
    ) : RunResult

    /** The run was cancelled by the loop. */
    data object Stopped : RunResult
}

/** What the agent's loop reacts to. */
internal sealed interface AgentEvent {
    data class LinkOpened(
        val session: EntrySession,
    ) : AgentEvent

    data class FromEntry(
        val session: EntrySession,
        val message: Message,
    ) : AgentEvent

    data class LinkClosed(
        val session: EntrySession,
    ) : AgentEvent

    data class Produced(
        val id: AttemptId,
        val count: Int,
    ) : AgentEvent

    data class RunEnded(
        val attempt: Attempt,
        val result: RunResult,
    ) : AgentEvent

    data class Reachable(
        val reachable: Boolean,
    ) : AgentEvent

    data object Drain : AgentEvent

    data object Tick : AgentEvent
}
