/*
 * Runs the queue for requests with a prompt: one for each upstream, looked at whenever an instance has taken up work
 * and in short steps while requests wait.
 */
package io.teaselspring.daemon.gateway

import io.netty.channel.EventLoop
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.InstanceView
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.QueuedRequest
import io.teaselspring.core.placement.RequestQueue
import java.util.concurrent.TimeUnit

/** What the queue tells a waiting request. */
internal interface WaitingRequest {
    /** It goes to [instance], which has about [uncachedTokens] of its prompt to read. */
    fun startAt(
        instance: UpstreamInstance,
        uncachedTokens: Long,
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

    /** A new id for a waiting request. */
    fun nextId(): Long = ++lastId

    /** Queues [request] for [upstream]. */
    fun add(
        upstream: UpstreamName,
        request: QueuedRequest,
        waiting: WaitingRequest,
    ) {
        val queue = queues.getOrPut(upstream) { UpstreamQueue(upstream) }
        queue.groups = request.group.count
        queue.requests[request.id] = waiting
        queue.decisions.add(request)
        queue.dispatch()
    }

    fun remove(
        upstream: UpstreamName,
        id: Long,
    ) {
        val queue = queues[upstream] ?: return
        if (queue.requests.remove(id) != null) queue.decisions.remove(id)
    }

    /** An instance of [upstream] has taken up work or has ended some. */
    fun changed(upstream: UpstreamName) {
        queues[upstream]?.dispatch()
    }

    /** Requests that wait. */
    val size: Int get() = queues.values.sumOf { it.decisions.size }

    private inner class UpstreamQueue(
        private val upstream: UpstreamName,
    ) {
        val decisions = RequestQueue(entries = entries)
        val requests = HashMap<Long, WaitingRequest>()
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
                    val view = views.getValue(start.instance)
                    val uncached = view.recordPrompt(start.request.parts)
                    requests.remove(start.request.id)?.startAt(view.state, uncached)
                }
            refused.forEach { requests.remove(it.request.id)?.refusedByQueue() }
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
    val state: UpstreamInstance,
    nowMs: Long,
) : InstanceView {
    private val candidate = state.candidate(nowMs, STREAM_SILENCE_MS)
    override val id: InstanceId get() = candidate.id
    override val isEjected: Boolean get() = candidate.isEjected
    override val load: Double get() = candidate.load
    override val pendingPrefillTokens: Long get() = state.pendingPrefillTokens

    override fun uncachedTokens(
        parts: List<PromptPart>,
        isPreferred: Boolean,
    ): Long = state.prefixCache.uncachedTokens(parts, isPreferred)

    fun recordPrompt(parts: List<PromptPart>): Long =
        uncachedTokens(parts, isPreferred = true).also { state.prefixCache.recordPrompt(parts) }
}

/** An instance with requests under way that sent nothing for this long gets no new ones. */
internal const val STREAM_SILENCE_MS = 900L
