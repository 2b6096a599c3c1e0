/*
 * The pools of instances of one dispatch, one for each latency group, and the overflow between them.
 */
package io.teaselspring.core.placement

/** The pools of [instances] at [nowMs], by latency group. */
internal class InstancePartition(
    instances: List<InstanceView>,
    groups: Int,
    private val policy: QueuePolicy,
    private val entries: Int,
    private val meanSizes: Map<LatencyGroup, PromptSize>,
    private val workingSets: Map<LatencyGroup, SharedWorkingSet>,
    private val averages: PendingAverages,
    private val hashes: RendezvousCache,
    private val nowMs: Long,
) {
    private val permitted = instances.filter { it.hasPermit }
    private val healthy = permitted.filter { !it.isEjected }.ifEmpty { permitted }
    private val groupByInstance = hashes.partition(instances.map { it.id }, groups)
    private val pools = HashMap<LatencyGroup, InstancePool>()

    fun poolOf(group: LatencyGroup): InstancePool =
        pools.getOrPut(group) {
            val members = instancesFor(group, healthy, groupByInstance) { it.id }
            val preferred = hashes.preferredInstances(group, members)
            InstancePool(
                members,
                preferred,
                group,
                policy,
                entries,
                meanSizes[group],
                workingSets[group]?.tokens(),
                averages,
                nowMs,
            )
        }

    /**
     * An instance of another group that has room for a request that its own group has no room for, or null. A group
     * overflows only to groups that allow longer event gaps: there its prompts are the shorter ones. Without this way a
     * request would be refused while less urgent ones start on other instances. Interactive requests are short, so all
     * of them go to the same instance, as far as this entry's share of the window allows.
     */
    fun overflowFor(request: QueuedRequest): InstanceView? {
        if (request.group.isLast || groupByInstance.isEmpty()) return null
        return if (request.group.isInteractive) {
            healthy
                .filter { groupByInstance.getValue(it.id) > request.group.index && it.hasPermit }
                .filter { it.hasSlotBesideOverflow(entries, nowMs) }
                .filter {
                    it.fitsShareOf(policy.windowTokensOf(request.group), entries, it.uncachedElsewhere(request))
                }.maxByOrNull { partitionWeight(it.id) }
        } else {
            (request.group.index + 1 until request.group.count)
                .flatMap { index -> membersWithRoom(index, request) }
                .byAffinity(request)
                ?.instance
        }
    }

    private fun membersWithRoom(
        groupIndex: Int,
        request: QueuedRequest,
    ): List<PoolMember> {
        val pool = poolOf(request.group.copy(index = groupIndex))
        // The pool of a group without healthy instances has those of the other groups.
        return pool.members.filter {
            groupByInstance[it.instance.id] == groupIndex &&
                pool.hasRoom(it, request) { it.instance.uncachedElsewhere(request) }
        }
    }

    private fun InstanceView.uncachedElsewhere(request: QueuedRequest) =
        uncachedTokens(request.parts, isPreferred = false)
}

/**
 * Whether the instance has a slot for a request of another group, although the other entries overflow to it at the same
 * time as this one and their requests are not in its report yet.
 */
private fun InstanceView.hasSlotBesideOverflow(
    entries: Int,
    nowMs: Long,
) = maxOf(load.requestsAt(nowMs), load.ownRequests.toDouble() * entries) < usableSlots
