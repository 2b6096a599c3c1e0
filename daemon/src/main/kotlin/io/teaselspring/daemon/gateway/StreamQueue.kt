/*
 * Admission queues for requests with a prompt, one for each upstream. Requests are dispatched when an instance finishes
 * a prefill, and at short intervals while requests wait.
 */
package io.teaselspring.daemon.gateway

import io.netty.channel.EventLoop
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.EngineCharge
import io.teaselspring.core.placement.GroupShares
import io.teaselspring.core.placement.InstanceView
import io.teaselspring.core.placement.KnownLoad
import io.teaselspring.core.placement.OrganisationShare
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.QueueDecision
import io.teaselspring.core.placement.QueuedRequest
import io.teaselspring.core.placement.RequestQueue
import io.teaselspring.core.placement.isLentTo
import java.util.concurrent.TimeUnit

/** Callbacks of the queue to a waiting request. */
internal interface WaitingRequest {
    /**
     * The request goes to [instance], which has to prefill about [uncachedTokens] of its prompt. Unless null, [holder]
     * has its shared part cached.
     */
    fun onDispatched(
        instance: UpstreamInstance,
        uncachedTokens: Long,
        holder: UpstreamInstance? = null,
    )

    /** The request has exceeded its time limit in the queue. */
    fun onQueueTimeout()
}

/** The queues of all upstreams. */
internal class StreamQueues(
    private val entry: InstanceId,
    private val loop: EventLoop,
    private val nowMs: () -> Long,
    private val instances: UpstreamInstances,
    private val entryCount: () -> Int,
    private val readMemory: (UpstreamInstance) -> Unit,
    private val groupSharesOf: (UpstreamName) -> GroupShares,
    private val fairness: FairQueueing,
    private val longestTargetMs: (UpstreamName) -> Long,
    private val isVersionRecorded: (UpstreamInstance) -> Boolean,
) {
    private val queues = HashMap<UpstreamName, UpstreamQueue>()
    private var lastId = 0L

    /** A new id for a waiting request. */
    fun nextId(): Long = ++lastId

    /** Queues [request] for [upstream]. */
    fun enqueue(
        upstream: UpstreamName,
        request: QueuedRequest,
        waiting: WaitingRequest,
    ) {
        val upstreamQueue = queues.getOrPut(upstream) { UpstreamQueue(upstream) }
        upstreamQueue.groupCount = request.group.count
        upstreamQueue.requests[request.id] = waiting
        upstreamQueue.queue.add(request)
        upstreamQueue.dispatch()
    }

    /**
     * The request [id], which waits or was dispatched, has ended with [outputTokens]: 0 if it has not run, null if they
     * are unknown.
     */
    fun ended(
        upstream: UpstreamName,
        id: Long,
        outputTokens: Long?,
    ) {
        val upstreamQueue = queues[upstream] ?: return
        if (upstreamQueue.requests.remove(id) != null) upstreamQueue.queue.remove(id)
        val charge = upstreamQueue.charges.remove(id)
        if (charge != null && outputTokens != null) upstreamQueue.queue.settle(charge, outputTokens)
    }

    /** Dispatches waiting requests of [upstream] after an instance has finished or dropped a prefill. */
    fun dispatch(upstream: UpstreamName) {
        queues[upstream]?.dispatch()
    }

    /** Number of waiting requests for [upstream] that are as urgent as [priority] or more so. */
    fun sizeFor(
        upstream: UpstreamName,
        priority: Int,
    ): Int = queues[upstream]?.queue?.sizeFor(priority) ?: 0

    /** Number of waiting requests for [upstream] of [priority]. */
    fun sizeAt(
        upstream: UpstreamName,
        priority: Int,
    ): Int = queues[upstream]?.queue?.sizeAt(priority) ?: 0

    /** The organisations with requests that wait for [upstream]. */
    fun sharesOf(upstream: UpstreamName): List<OrganisationShare> = queues[upstream]?.queue?.shares.orEmpty()

    /** Number of waiting requests. */
    val size: Int get() = queues.values.sumOf { it.queue.size }

    private inner class UpstreamQueue(
        private val upstream: UpstreamName,
    ) {
        val queue = RequestQueue(entries = entryCount)
        val requests = HashMap<Long, WaitingRequest>()
        val charges = HashMap<Long, EngineCharge>()
        var groupCount = 1
        private var isScheduled = false
        private var isDispatching = false

        fun dispatch() {
            // An attempt may fail synchronously and call dispatch() again; the outer call already sees the effects.
            if (isDispatching || queue.size == 0) return
            isDispatching = true
            try {
                dispatchAt(nowMs())
            } finally {
                isDispatching = false
            }
            if (queue.size > 0) schedule()
        }

        private fun dispatchAt(now: Long) {
            val views = views(now)
            val pace = fairness.paceOf(upstream)
            val groupShares = groupSharesOf(upstream)
            val expired =
                queue.dispatch(
                    now,
                    views.values.toList(),
                    groupCount,
                    groupShares,
                    fairShares = pace != null,
                ) { start ->
                    val view = views.getValue(start.instance)
                    val uncached = view.recordPrompt(start.request.parts)
                    if (view.memoryTokens == null) readMemory(view.instance)
                    pace?.returns?.recordStart(start.request.priority, now)
                    val holder = start.holder?.let { views.getValue(it).instance }
                    dispatched(start)?.onDispatched(view.instance, uncached, holder)
                }
            expired.forEach { requests.remove(it.request.id)?.onQueueTimeout() }
        }

        /** The request of [start], or null if it ended during this dispatch. */
        private fun dispatched(start: QueueDecision.Start): WaitingRequest? {
            val request = requests.remove(start.request.id)
            if (request == null) {
                queue.settle(start.charge, outputTokens = 0)
            } else {
                charges[start.request.id] = start.charge
            }
            return request
        }

        private fun views(nowMs: Long): Map<InstanceId, UpstreamInstanceView> {
            val available = instances.available(upstream)
            val isTimed = instances.isTimed(upstream)
            val stallMs = if (isTimed) timedStallMs(longestTargetMs(upstream)) else STREAM_STALL_MS
            val isLent = { id: InstanceId -> isTimed && isLentTo(entry.value, id.value, entryCount(), nowMs) }
            return available.associate {
                it.registered.id to UpstreamInstanceView(it, nowMs, stallMs, isLent, isVersionRecorded)
            }
        }

        private fun schedule() {
            if (isScheduled) return
            isScheduled = true
            loop.schedule(
                {
                    isScheduled = false
                    dispatch()
                },
                DISPATCH_INTERVAL_MS,
                TimeUnit.MILLISECONDS,
            )
        }
    }

    private companion object {
        const val DISPATCH_INTERVAL_MS = 20L
    }
}

private class UpstreamInstanceView(
    val instance: UpstreamInstance,
    private val nowMs: Long,
    stallMs: Long,
    private val isLent: (InstanceId) -> Boolean,
    private val isRecorded: (UpstreamInstance) -> Boolean,
) : InstanceView {
    override val id: InstanceId get() = instance.registered.id
    override val dataCentre: DataCentre get() = instance.registered.dataCentre
    override val version: String? get() = instance.version
    override val isVersionRecorded: Boolean by lazy(LazyThreadSafetyMode.NONE) { isRecorded(instance) }
    override val isEjected: Boolean = instance.isEjected(nowMs, stallMs)
    override val hasPermit: Boolean get() = instance.limit.hasPermit(nowMs) && instance.admitsRequest(nowMs)
    override val lendsNow: Boolean by lazy(LazyThreadSafetyMode.NONE) { isLent(id) }
    override val speed: Double = instance.load.workTime.speed
    override val load: KnownLoad get() = instance.load
    override val slots: Int? get() =
        instance.load.lastReport
            ?.slots
            ?.takeIf { it > 0 } ?: instance.registered.slots
    override val memoryTokens: Long? get() = instance.memoryTokens
    override val pendingPrefillTokens: Long get() = instance.pendingPrefillTokens

    override fun uncachedTokens(
        parts: List<PromptPart>,
        isPreferred: Boolean,
    ): Long = instance.prefixCache.uncachedTokens(parts, isPreferred)

    fun recordPrompt(parts: List<PromptPart>): Long =
        uncachedTokens(parts, isPreferred = true).also { instance.prefixCache.recordPrompt(parts) }
}

/** An instance with requests in progress that has sent nothing for this long gets no new requests. */
internal const val STREAM_STALL_MS = 900L

/**
 * As [STREAM_STALL_MS], for a timed upstream whose routes allow up to [longestTargetMs] until the first event. Engines
 * of a timed upstream may be slow for a while, and a slow one that is avoided has its shared parts prefilled elsewhere.
 */
internal fun timedStallMs(longestTargetMs: Long): Long =
    (longestTargetMs * TIMED_STALL_PCT / PERCENT).coerceIn(STREAM_STALL_MS, MAX_STALL_MS)

private const val TIMED_STALL_PCT = 150
private const val PERCENT = 100
private const val MAX_STALL_MS = 3_000L

/** Whether engines of [upstream] fetch cached parts from each other; only a timed upstream is asked to. */
internal fun Gateway.copiesCachedParts(upstream: UpstreamName): Boolean =
    instances.isTimed(upstream) && config.current?.propertiesOf(upstream)?.copiesCachedParts == true
