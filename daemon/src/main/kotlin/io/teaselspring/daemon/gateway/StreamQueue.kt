/*
 * Runs the queue for calls with a prompt: one for each upstream, looked at whenever an engine has taken up work and
 * in short steps while calls wait.
 */
package io.teaselspring.daemon.gateway

import io.netty.channel.EventLoop
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.CallQueue
import io.teaselspring.core.placement.EngineView
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.QueuedCall
import java.util.concurrent.TimeUnit

/** What the queue tells a waiting call. */
internal interface WaitingCall {
    /** It goes to [instance], which has about [unreadTokens] of its prompt to read. */
    fun startAt(
        instance: InstanceState,
        unreadTokens: Long,
    )

    /** It has waited too long. */
    fun refusedByQueue()
}

/** The queues of all upstreams. */
internal class StreamQueues(
    private val loop: EventLoop,
    private val nowMs: () -> Long,
    private val instances: UpstreamInstances,
    private val entries: () -> Int,
) {
    private val queues = HashMap<UpstreamName, UpstreamQueue>()
    private var lastId = 0L

    /** A new id for a waiting call. */
    fun nextId(): Long = ++lastId

    /** Queues [call] for [upstream]. */
    fun add(
        upstream: UpstreamName,
        call: QueuedCall,
        waiting: WaitingCall,
    ) {
        val queue = queues.getOrPut(upstream) { UpstreamQueue(upstream) }
        queue.groups = call.group.count
        queue.calls[call.id] = waiting
        queue.decisions.add(call)
        queue.dispatch()
    }

    fun remove(
        upstream: UpstreamName,
        id: Long,
    ) {
        val queue = queues[upstream] ?: return
        if (queue.calls.remove(id) != null) queue.decisions.remove(id)
    }

    /** An instance of [upstream] has taken up work or has ended some. */
    fun changed(upstream: UpstreamName) {
        queues[upstream]?.dispatch()
    }

    /** Calls that wait. */
    val size: Int get() = queues.values.sumOf { it.decisions.size }

    private inner class UpstreamQueue(
        private val upstream: UpstreamName,
    ) {
        val decisions = CallQueue(entries = entries)
        val calls = HashMap<Long, WaitingCall>()
        var groups = 1
        private var isScheduled = false
        private var isDispatching = false

        fun dispatch() {
            // A start may fail at once and bring another dispatch; the running one sees its effects.
            if (isDispatching || decisions.size == 0) return
            isDispatching = true
            val now = nowMs()
            val views = instances.of(upstream).associate { it.registered.id to StateView(it, now) }
            val refused =
                decisions.dispatch(now, views.values.toList(), groups) { start ->
                    val view = views.getValue(start.engine)
                    val unread = view.noteRead(start.call.parts)
                    calls.remove(start.call.id)?.startAt(view.state, unread)
                }
            refused.forEach { calls.remove(it.call.id)?.refusedByQueue() }
            isDispatching = false
            if (decisions.size > 0) schedule()
        }

        private fun schedule() {
            if (isScheduled) return
            isScheduled = true
            loop.schedule(
                {
                    isScheduled = false
                    dispatch()
                },
                STEP_MS,
                TimeUnit.MILLISECONDS,
            )
        }
    }

    private companion object {
        const val STEP_MS = 20L
    }
}

private class StateView(
    val state: InstanceState,
    nowMs: Long,
) : EngineView {
    private val candidate = state.candidate(nowMs, STREAM_SILENCE_MS)
    override val id: InstanceId get() = candidate.id
    override val isAvoided: Boolean get() = candidate.isAvoided
    override val work: Double get() = candidate.work
    override val pendingTokens: Long get() = state.pendingPrefillTokens

    override fun unreadTokens(
        parts: List<PromptPart>,
        isHome: Boolean,
    ): Long = state.memory.unreadTokens(parts, isHome)

    fun noteRead(parts: List<PromptPart>): Long =
        unreadTokens(parts, isHome = true).also { state.memory.noteRead(parts) }
}

/** An engine with calls under way that sent nothing for this long gets no new ones. */
internal const val STREAM_SILENCE_MS = 900L
