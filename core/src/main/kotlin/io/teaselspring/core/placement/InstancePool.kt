/*
 * The instances that a queue may send its requests to during one dispatch: pools of instances that serve the same
 * latency group, and the room that each instance has for a request.
 */
package io.teaselspring.core.placement

/**
 * The [instances] of [group], which [entries] entries share. Each of the other entries is assumed to have as many
 * pending prefill tokens on these instances as this entry has on average. [meanTokens] are the mean tokens of a prompt.
 */
internal class InstancePool(
    val instances: List<InstanceView>,
    private val group: LatencyGroup,
    private val policy: QueuePolicy,
    private val entries: Int,
    private val meanTokens: Map<LatencyGroup, Double>,
    averages: PendingAverages,
    nowMs: Long,
) {
    private val windowTokens = if (group.isLast) policy.windowTokens else policy.interactiveWindowTokens
    private val otherEntries = OtherEntriesLoad(instances.map { it.load }, nowMs)
    private val pendingAverages =
        instances.associate { it.id to averages.update(it.id, it.pendingPrefillTokens, entries, nowMs) }
    private val meanPendingAverage = pendingAverages.values.sum() / maxOf(1, instances.size)

    /** Estimate of the pending prefill tokens of all entries on [instance]. */
    fun pendingTokensOn(instance: InstanceView): Double {
        val ownAverage = pendingAverages.getValue(instance.id)
        val average = SAME_INSTANCE_WEIGHT * ownAverage + (1 - SAME_INSTANCE_WEIGHT) * meanPendingAverage
        return instance.pendingPrefillTokens + (entries - 1) * average
    }

    /**
     * Whether [instance] has room for [request], with [uncachedTokens] to prefill, while running requests take at most
     * [memoryFraction] of its memory.
     */
    fun hasRoom(
        instance: InstanceView,
        request: QueuedRequest,
        uncachedTokens: Long,
        memoryFraction: Double = policy.runningMemoryFraction,
    ): Boolean {
        val others = otherEntries.requestsOn(instance.load)
        return instance.load.ownRequests + others < policy.maxLoad &&
            hasPrefillRoom(instance, uncachedTokens) &&
            hasMemory(instance, request, others, memoryFraction)
    }

    private fun hasPrefillRoom(
        instance: InstanceView,
        uncachedTokens: Long,
    ): Boolean {
        val ownTokens = instance.pendingPrefillTokens
        if (ownTokens > 0 && ownTokens + uncachedTokens > windowTokens / entries) return false
        val pendingTokens = pendingTokensOn(instance)
        return pendingTokens <= windowTokens * IDLE_WINDOW_FRACTION || pendingTokens + uncachedTokens <= windowTokens
    }

    private fun hasMemory(
        instance: InstanceView,
        request: QueuedRequest,
        others: Double,
        memoryFraction: Double,
    ): Boolean {
        val memoryTokens = instance.memoryTokens ?: return true
        // An idle instance accepts a request of any size.
        if (instance.load.ownRequests + others < 1) return true
        val othersTokens = others * (meanTokens[group] ?: request.promptTokens.toDouble())
        return instance.load.ownTokens + othersTokens + request.promptTokens <= memoryTokens * memoryFraction
    }

    private companion object {
        /**
         * Part of the requests of other entries that goes to the same instances as those of this entry, because they
         * have popular shared parts. The others are spread over all instances.
         */
        const val SAME_INSTANCE_WEIGHT = 0.25

        /** With less of its window pending, an instance accepts a prompt that is larger than the window. */
        const val IDLE_WINDOW_FRACTION = 0.02
    }
}

/** The pools of [instances] at [nowMs], by latency group. */
internal class InstancePartition(
    instances: List<InstanceView>,
    groups: Int,
    private val policy: QueuePolicy,
    private val entries: Int,
    private val meanTokens: Map<LatencyGroup, Double>,
    private val averages: PendingAverages,
    private val nowMs: Long,
) {
    private val healthy = instances.filter { !it.isEjected }.ifEmpty { instances }
    private val groupByInstance = partitionInstances(instances.map { it.id }, groups)
    private val pools = HashMap<LatencyGroup, InstancePool>()

    /** Drops what was derived from the state of the instances; has to be called after a request has been started. */
    fun invalidate() = pools.clear()

    fun poolOf(group: LatencyGroup): InstancePool =
        pools.getOrPut(group) {
            val members = instancesFor(group, healthy, groupByInstance) { it.id }
            InstancePool(members, group, policy, entries, meanTokens, averages, nowMs)
        }

    /**
     * An instance of another group that has room for a request that its own group has no room for, or null. A group
     * overflows only to groups that allow longer event gaps: there its prompts are the shorter ones. Without this way a
     * request would be refused while less urgent ones start on other instances. Interactive requests are short, so all
     * of them go to the same instance, as far as this entry's share of the window allows.
     */
    fun overflowFor(request: QueuedRequest): InstanceView? {
        val others = healthy.filter { (groupByInstance[it.id] ?: return null) > request.group.index }
        return if (request.group.isInteractive) {
            others
                .filter { it.load.requestsAt(nowMs) < policy.maxLoad }
                .filter { it.hasPrefillRoom(request, it.uncachedElsewhere(request), policy, entries) }
                .maxByOrNull { partitionWeight(it.id) }
        } else {
            others
                .filter {
                    val pool = poolOf(request.group.copy(index = groupByInstance.getValue(it.id)))
                    pool.hasRoom(it, request, it.uncachedElsewhere(request))
                }.byAffinity(request)
        }
    }

    private fun InstanceView.uncachedElsewhere(request: QueuedRequest) =
        uncachedTokens(request.parts, isPreferred = false)
}

/** The instance that comes first in the rendezvous order of the shared part of [request]. */
internal fun List<InstanceView>.byAffinity(request: QueuedRequest): InstanceView? =
    maxByOrNull { rendezvousWeight(request.affinityPart, it.id) }

/** Whether this entry's pending prefill tokens leave room for [uncachedTokens] in its share of the window. */
private fun InstanceView.hasPrefillRoom(
    request: QueuedRequest,
    uncachedTokens: Long,
    policy: QueuePolicy,
    entries: Int,
): Boolean {
    val windowTokens = if (request.group.isInteractive) policy.interactiveWindowTokens else policy.windowTokens
    return pendingPrefillTokens == 0L || pendingPrefillTokens + uncachedTokens <= windowTokens / entries
}
