/*
 * The queue of an entry for requests with a prompt. Each instance is sent only as many uncached prompt tokens as it
 * can prefill soon; other requests wait here in order of priority, where a crash of the instance does not lose them. A
 * request goes to its preferred instance, whose prefix cache holds its shared part, and to another one only when a
 * second prefill of that part costs less than the wait. A request that has waited too long is refused at once.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.InstanceId

/** A part of a prompt. */
public data class PromptPart(
    val id: String,
    val tokens: Long,
)

/**
 * A request that waits. The last of [parts] is its own, the others are shared. [group] decides which instances it may
 * go to. After [refuseAfterMs] it is not started any more, after [lateAfterMs] its response would be late.
 */
public data class QueuedRequest(
    val id: Long,
    val parts: List<PromptPart>,
    val group: LatencyGroup,
    val priority: Int,
    val arrivedMs: Long,
    val lateAfterMs: Long,
    val refuseAfterMs: Long,
)

/** An instance as the queue sees it. An ejected one is used only while all are ejected. */
public interface InstanceView {
    public val id: InstanceId
    public val isEjected: Boolean

    /** Requests of all entries that run or wait there, as far as known to this entry. */
    public val load: Double

    /** Prompt tokens that this entry has sent and that have not led to a first token. */
    public val pendingPrefillTokens: Long

    /**
     * Estimate of the tokens of [parts] that are not in the instance's prefix cache. To the preferred instance of the
     * shared parts, other entries may have sent them.
     */
    public fun uncachedTokens(
        parts: List<PromptPart>,
        isPreferred: Boolean,
    ): Long
}

/** What becomes of a request. */
public sealed interface QueueDecision {
    public val request: QueuedRequest

    /** It goes to [instance] now. */
    public data class Start(
        override val request: QueuedRequest,
        val instance: InstanceId,
    ) : QueueDecision

    /** It is given up. */
    public data class Refuse(
        override val request: QueuedRequest,
    ) : QueueDecision
}

/**
 * The rules. An instance is sent a request when this entry has no pending prefill tokens there, or when with the
 * request they stay within this entry's part of [windowTokens], or of [interactiveWindowTokens] for interactive
 * requests. A request leaves its preferred instance when it has waited [spillAfterMs] and another instance could
 * prefill the whole prompt in less than [spillTimeRatio] of the time that the preferred one needs, if all entries send
 * alike. An instance with a load of [maxLoad] requests is sent no more.
 */
public data class QueuePolicy(
    val windowTokens: Long = 50_000,
    val interactiveWindowTokens: Long = 20_000,
    val spillAfterMs: Long = 1_500,
    val spillTimeRatio: Double = 0.3,
    val maxLoad: Double = 60.0,
)

/** The queue of one of [entries] entries. Not thread-safe. */
public class RequestQueue(
    private val policy: QueuePolicy = QueuePolicy(),
    private val entries: () -> Int,
) {
    private val waiting = ArrayList<QueuedRequest>()

    /** Requests that wait. */
    public val size: Int get() = waiting.size

    /** Adds [request]. */
    public fun add(request: QueuedRequest) {
        waiting += request
    }

    /** Drops the request [id], whose caller has left. */
    public fun remove(id: Long) {
        waiting.removeAll { it.id == id }
    }

    /**
     * Decides at [nowMs] what becomes of the waiting requests on [instances], which are partitioned among [groups]
     * latency groups. [started] is called for each start before the next request is looked at, so that the instances'
     * figures are up to date.
     */
    public fun dispatch(
        nowMs: Long,
        instances: List<InstanceView>,
        groups: Int,
        started: (QueueDecision.Start) -> Unit,
    ): List<QueueDecision.Refuse> {
        val partition = InstancePartition(instances, groups)
        // What comes too late for its target follows what can still make it, within each priority.
        waiting.sortWith(compareBy({ it.priority }, { nowMs >= it.lateAfterMs }, { it.arrivedMs }))
        val refused = mutableListOf<QueueDecision.Refuse>()
        val remaining = waiting.toList()
        waiting.clear()
        for (request in remaining) {
            val instance = instanceFor(request, partition.of(request), nowMs) ?: partition.overflowFor(request)
            when {
                instance != null -> started(QueueDecision.Start(request, instance.id))
                nowMs >= request.refuseAfterMs -> refused += QueueDecision.Refuse(request)
                else -> waiting += request
            }
        }
        return refused
    }

    private fun instanceFor(
        request: QueuedRequest,
        instances: List<InstanceView>,
        nowMs: Long,
    ): InstanceView? {
        val preferred = preferredInstance(request, instances) ?: return null
        val uncachedAtPreferred = preferred.uncachedTokens(request.parts, isPreferred = true)
        if (preferred.hasRoom(uncachedAtPreferred, windowOf(request))) return preferred
        if (nowMs - request.arrivedMs < policy.spillAfterMs) return null
        val limit = (preferred.pendingPrefillTokens * entries() + uncachedAtPreferred) * policy.spillTimeRatio
        return instances
            .filter { it !== preferred }
            .map { it to it.uncachedTokens(request.parts, isPreferred = false) }
            .filter { (instance, uncached) ->
                instance.hasRoom(uncached, windowOf(request)) &&
                    instance.pendingPrefillTokens * entries() + uncached < limit
            }.minByOrNull { (instance, uncached) -> instance.pendingPrefillTokens * entries() + uncached }
            ?.first
    }

    private fun preferredInstance(
        request: QueuedRequest,
        instances: List<InstanceView>,
    ): InstanceView? {
        val parts = request.parts
        val part = (if (parts.size > 1) parts[parts.size - 2] else parts.firstOrNull())?.id
        return instances.maxByOrNull { rank(part.orEmpty(), it.id) }
    }

    private fun windowOf(request: QueuedRequest) =
        (if (request.group.isInteractive) policy.interactiveWindowTokens else policy.windowTokens) / entries()

    private fun InstanceView.hasRoom(
        uncached: Long,
        windowTokens: Long,
    ) = load < policy.maxLoad && (pendingPrefillTokens == 0L || pendingPrefillTokens + uncached <= windowTokens)

    private inner class InstancePartition(
        instances: List<InstanceView>,
        groups: Int,
    ) {
        private val healthy = instances.filter { !it.isEjected }.ifEmpty { instances }
        private val groupByInstance = partitionInstances(instances.map { it.id }, groups)

        fun of(request: QueuedRequest): List<InstanceView> =
            instancesFor(request.group, healthy, groupByInstance) { it.id }

        /** The first instance of another group that can take an interactive request at once; it cannot wait long. */
        fun overflowFor(request: QueuedRequest): InstanceView? {
            if (!request.group.isInteractive || groupByInstance.isEmpty()) return null
            return healthy
                .filter { groupByInstance[it.id] != request.group.index }
                .filter { it.hasRoom(it.uncachedTokens(request.parts, isPreferred = false), windowOf(request)) }
                .maxByOrNull { partitionRank(it.id) }
        }
    }
}
