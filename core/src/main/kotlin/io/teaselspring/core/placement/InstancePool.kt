/*
 * The instances that a queue may send its requests to during one dispatch: pools of instances that serve the same
 * latency group, and the room that each instance has for a request.
 */
package io.teaselspring.core.placement

/** The [instances] of [group]. [meanTokens] are means of the tokens of a prompt. */
internal class InstancePool(
    val instances: List<InstanceView>,
    private val group: LatencyGroup,
    private val policy: QueuePolicy,
    private val entries: Int,
    private val meanTokens: Map<LatencyGroup, Double>,
    nowMs: Long,
) {
    private val otherEntries = OtherEntriesLoad(instances.map { it.load }, nowMs)

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
        val requests = instance.load.ownRequests + others
        if (requests >= policy.maxLoad ||
            !instance.hasPrefillRoom(request, uncachedTokens, policy, entries)
        ) {
            return false
        }
        val memoryTokens = instance.memoryTokens ?: return true
        // An idle instance accepts a request of any size.
        if (requests < 1) return true
        val othersTokens = others * (meanTokens[group] ?: request.promptTokens.toDouble())
        return instance.load.ownTokens + othersTokens + request.promptTokens <= memoryTokens * memoryFraction
    }
}

/** The pools of [instances] at [nowMs], by latency group. */
internal class InstancePartition(
    instances: List<InstanceView>,
    groups: Int,
    private val policy: QueuePolicy,
    private val entries: Int,
    private val meanTokens: Map<LatencyGroup, Double>,
    private val nowMs: Long,
) {
    private val healthy = instances.filter { !it.isEjected }.ifEmpty { instances }
    private val groupByInstance = partitionInstances(instances.map { it.id }, groups)
    private val pools = HashMap<LatencyGroup, InstancePool>()

    fun poolOf(group: LatencyGroup): InstancePool =
        pools.getOrPut(group) {
            val members = instancesFor(group, healthy, groupByInstance) { it.id }
            InstancePool(members, group, policy, entries, meanTokens, nowMs)
        }

    /**
     * An instance of another group that has room for a request that its own group has no room for, or null. A group
     * overflows only to groups that allow longer event gaps: there its prompts are the shorter ones. Without this way a
     * request would be refused while less urgent ones start on other instances.
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
