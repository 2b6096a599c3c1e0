/*
 * Priority queue of an entry for requests with a prompt, with a window of prefill tokens for each instance, a bound on
 * the memory of running requests, and prefix-cache affinity. Each instance is sent only as many uncached prompt tokens
 * as it can prefill soon, and only as many requests as leave room for its prefix cache. Other requests wait here in
 * order of priority, where the crash of an instance doesn't lose them. A request goes to its preferred instance, whose
 * prefix cache holds its shared part, and to another one only when a second prefill of that part costs less than the
 * wait. A request that has waited too long is refused.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.OrganisationId

/** A part of a prompt, identified by [id]. */
public data class PromptPart(
    val id: String,
    val tokens: Long,
)

/**
 * A request in the queue. The last of [parts] is the request's own, the others are shared with other requests. [group]
 * decides which instances it may be sent to. If it starts at [lateAfterMs] or later, it misses its latency target. If
 * no instance has room for it at [refuseAfterMs] or later, it is refused. [restriction] tells which instances it may be
 * sent to. [organisation] is charged for it, null for callers without one.
 */
public data class QueuedRequest(
    val id: Long,
    val parts: List<PromptPart>,
    val group: LatencyGroup,
    val priority: Int,
    val arrivedMs: Long,
    val lateAfterMs: Long,
    val refuseAfterMs: Long,
    val restriction: InstanceRestriction = InstanceRestriction.NONE,
    val organisation: OrganisationId? = null,
    val output: StatedOutput = StatedOutput.UNKNOWN,
) {
    /** Tokens of its own part, and of its whole prompt. */
    internal val size = PromptSize(parts.lastOrNull()?.tokens ?: 0, parts.sumOf { it.tokens })

    /** The longest part of the prompt that other requests share, which decides on the preferred instance. */
    internal val affinityPart: String = (sharedPart ?: parts.firstOrNull())?.id.orEmpty()

    internal val sharedPart: PromptPart? get() = if (parts.size > 1) parts[parts.size - 2] else null
}

/** State of an instance that the queue reads. An ejected instance is used only while all are ejected. */
public interface InstanceView {
    public val id: InstanceId
    public val isEjected: Boolean

    /** Null if unknown: then the instance gets no request that is restricted to some data centres. */
    public val dataCentre: DataCentre? get() = null

    /** The version of its software, empty if its row states none, null if unknown. */
    public val version: String? get() = ""

    /** Whether the entries have recorded that the version serves. */
    public val isVersionRecorded: Boolean get() = true

    /** Whether the limit of requests a second that the instance states permits one more; true without a limit. */
    public val hasPermit: Boolean get() = true

    /** Lasting speed of the instance; 1.0 is the usual one. */
    public val speed: Double get() = 1.0

    /** Whether this entry may send it prompts of another latency group while it is idle. */
    public val lendsNow: Boolean get() = false

    /** What this entry knows of the requests on the instance. */
    public val load: KnownLoad

    /** Requests that the instance runs at once, or null if unknown. */
    public val slots: Int?

    /** Tokens that the instance can keep of running requests and cached parts, or null if unknown. */
    public val memoryTokens: Long?

    /** Prompt tokens of the requests that this entry has sent and that have not produced a first token yet. */
    public val pendingPrefillTokens: Long

    /**
     * Estimates the tokens of [parts] that are not in the instance's prefix cache. If the instance [isPreferred], other
     * entries may have sent the shared parts there.
     */
    public fun uncachedTokens(
        parts: List<PromptPart>,
        isPreferred: Boolean,
    ): Long
}

/** The decision of the queue on a request. */
public sealed interface QueueDecision {
    public val request: QueuedRequest

    /**
     * [request] is to be sent to [instance] now; [charge] is to be settled when it has ended. Unless null, [holder] is
     * another instance that is expected to have its shared part cached.
     */
    public data class Start(
        override val request: QueuedRequest,
        val instance: InstanceId,
        val charge: EngineCharge,
        val holder: InstanceId? = null,
    ) : QueueDecision

    /** [request] has waited too long and is to be refused. */
    public data class Refuse(
        override val request: QueuedRequest,
    ) : QueueDecision
}

/**
 * Thresholds of the queue. An instance has room for a request if both of these hold:
 * - Its pending prefill tokens, this entry's and those assumed of all other entries, stay within [windowTokens] with
 *   the uncached tokens of the request, and this entry's within its share of them, unless it has none pending there.
 *   For all latency groups but the last, whose targets are shorter, [interactiveWindowTokens] applies. An instance with
 *   hardly any pending tokens has room for a prompt of any size.
 * - The unshared parts of the prompts of all running and waiting requests of all entries, as far as known, leave the
 *   memory that the shared parts in use need, or take at most [runningMemoryFraction] of it while those are unknown. So
 *   shared parts stay cached.
 *
 * In both, a request larger than the mean counts as one of mean size. Windows apply to an instance of the usual speed,
 * and scale with the speed of others.
 *
 * A request spills over to another instance when it has waited for [spillAfterMs] and the other instance would prefill
 * its prompt in less than [spillTimeRatio] of the time that the preferred instance needs. It prefills the shared parts
 * again, so it spills over only to an instance whose requests then take at most [spillMemoryShare] of that memory. An
 * instance whose requests take its [usableSlots] has no room.
 */
public data class QueuePolicy(
    val windowTokens: Long = 30_000,
    val interactiveWindowTokens: Long = 20_000,
    val spillAfterMs: Long = 500,
    val spillTimeRatio: Double = 0.3,
    val runningMemoryFraction: Double = 0.25,
    val spillMemoryShare: Double = 0.3,
)

/** The queue of one entry; [entries] returns the number of entries. Not thread-safe. */
public class RequestQueue(
    private val policy: QueuePolicy = QueuePolicy(),
    private val entries: () -> Int,
) {
    private val waiting = ArrayList<QueuedRequest>()
    private val pendingAverages = PendingAverages()
    private val hashes = RendezvousCache()

    private val meanSizes = HashMap<LatencyGroup, PromptSize>()

    private val workingSets = HashMap<LatencyGroup, SharedWorkingSet>()
    private val organisations = OrganisationOrder()

    /** The organisations with waiting requests. */
    public val shares: List<OrganisationShare> get() = organisations.shares

    /** Number of waiting requests. */
    public val size: Int get() = waiting.size

    /** Number of waiting requests that are as urgent as [priority] or more so. */
    public fun sizeFor(priority: Int): Int = waiting.count { it.priority <= priority }

    /** Number of waiting requests of [priority]. */
    public fun sizeAt(priority: Int): Int = waiting.count { it.priority == priority }

    public fun add(request: QueuedRequest) {
        waiting += request
        organisations.added(request)
        meanSizes.merge(request.group, request.size) { mean, size -> mean.movedTowards(size) }
        request.sharedPart?.let {
            workingSets.getOrPut(request.group) { SharedWorkingSet() }.record(it, request.arrivedMs)
        }
    }

    /** Removes the request [id], whose caller has disconnected. */
    public fun remove(id: Long) {
        val index = waiting.indexOfFirst { it.id == id }
        if (index >= 0) organisations.removed(waiting.removeAt(index))
    }

    /** Corrects the [charge] of a request that has ended with [outputTokens], 0 if it has not run. */
    public fun settle(
        charge: EngineCharge,
        outputTokens: Long,
    ): Unit = organisations.settle(charge, outputTokens)

    /**
     * Removes and returns the requests to refuse at [nowMs], and calls [onStart] for each request to send to one of
     * [instances], which are partitioned among [groups] latency groups with [shares]. [onStart] has to update the load
     * and the pending prefill tokens of the instance, because it is called before the next request is considered. With
     * [fairShares], organisations get equal shares of engine time within a priority; otherwise requests are considered
     * by arrival.
     */
    public fun dispatch(
        nowMs: Long,
        instances: List<InstanceView>,
        groups: Int,
        shares: GroupShares = GroupShares.FIXED,
        fairShares: Boolean = false,
        onStart: (QueueDecision.Start) -> Unit,
    ): List<QueueDecision.Refuse> {
        if (pendingAverages.size > instances.size) pendingAverages.retain(instances.mapTo(HashSet()) { it.id })
        val partition =
            InstancePartition(
                instances,
                groups,
                shares,
                policy,
                entries(),
                meanSizes,
                workingSets,
                pendingAverages,
                hashes,
                nowMs,
            )
        // Within a priority, requests that can still meet their latency target precede those that can't.
        waiting.sortWith(compareBy({ it.priority }, { nowMs >= it.lateAfterMs }, { it.arrivedMs }))
        val refused = mutableListOf<QueueDecision.Refuse>()
        val remaining = waiting.toList()
        waiting.clear()

        fun offer(request: QueuedRequest) {
            val pool = partition.poolOf(request.group, request.restriction)
            val instance =
                instanceFor(request, pool, nowMs)
                    ?: partition.overflowFor(request)
                    ?: partition.idleInstanceFor(request)
            when {
                instance != null -> onStart(start(request, instance, pool.holderBeside(instance, request)))
                nowMs >= request.refuseAfterMs -> {
                    organisations.removed(request)
                    refused += QueueDecision.Refuse(request)
                }
                else -> waiting += request
            }
        }
        if (fairShares) {
            organisations.forEach(remaining, { nowMs >= it.lateAfterMs }, ::offer)
        } else {
            remaining.forEach(::offer)
        }
        return refused
    }

    private fun start(
        request: QueuedRequest,
        instance: InstanceView,
        holder: InstanceId?,
    ): QueueDecision.Start {
        val uncachedTokens = instance.uncachedTokens(request.parts, isPreferred = true)
        val charge = organisations.started(request, uncachedTokens, instance.speed)
        return QueueDecision.Start(request, instance.id, charge, holder)
    }

    private fun instanceFor(
        request: QueuedRequest,
        pool: InstancePool,
        nowMs: Long,
    ): InstanceView? {
        val preferred = pool.preferredFor(request) ?: return null
        val uncachedAtPreferred = preferred.instance.uncachedTokens(request.parts, isPreferred = true)
        if (pool.hasRoom(preferred, request) { uncachedAtPreferred }) return preferred.instance
        if (nowMs - request.arrivedMs < policy.spillAfterMs) return null
        val maxTokens = (preferred.pendingTokens + uncachedAtPreferred) * policy.spillTimeRatio
        return pool.spillCandidates
            .filter { it !== preferred && it.pendingTokens < maxTokens }
            .filter {
                val uncached = it.instance.uncachedTokens(request.parts, isPreferred = false)
                it.pendingTokens + uncached < maxTokens &&
                    pool.hasRoom(it, request, isSpill = true) { uncached }
            }.byAffinity(request)
            ?.instance
    }
}
