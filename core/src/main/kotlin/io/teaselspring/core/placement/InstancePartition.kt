/*
 * The pools of instances of one dispatch, one for each latency group, and the overflow between them.
 */
package io.teaselspring.core.placement

/** The requests of [group] with [restriction]. */
internal data class PoolKey(
    val group: LatencyGroup,
    val restriction: InstanceRestriction = InstanceRestriction.NONE,
)

/** The pools of [instances] at [nowMs], by latency group; the groups have [shares] of the instances. */
internal class InstancePartition(
    instances: List<InstanceView>,
    groups: Int,
    shares: GroupShares,
    private val policy: QueuePolicy,
    private val entries: Int,
    private val meanSizes: Map<LatencyGroup, PromptSize>,
    private val workingSets: Map<LatencyGroup, SharedWorkingSet>,
    private val averages: PendingAverages,
    private val hashes: RendezvousCache,
    private val nowMs: Long,
) {
    private val permitted = instances.filter { it.hasPermit }
    private val healthyByRestriction = HashMap<InstanceRestriction, List<InstanceView>>()
    private val groupByInstance = hashes.partition(instances.map { it.id }, groups, shares)
    private val pools = HashMap<PoolKey, InstancePool>()

    /** The instances that [restriction] allows and that are not ejected, or all that it allows if all are. */
    private fun healthyIn(restriction: InstanceRestriction) =
        healthyByRestriction.getOrPut(restriction) {
            val allowed = permitted.filter { restriction.allows(it.dataCentre, it.version, it.isVersionRecorded) }
            allowed.filter { !it.isEjected }.ifEmpty { allowed }
        }

    /** The pool of the requests of [group] with [restriction]. */
    fun poolOf(
        group: LatencyGroup,
        restriction: InstanceRestriction = InstanceRestriction.NONE,
    ): InstancePool =
        pools.getOrPut(PoolKey(group, restriction)) {
            val members = instancesFor(group, healthyIn(restriction), groupByInstance) { it.id }
            val preferred = hashes.preferredInstances(PoolKey(group, restriction), members)
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
            healthyIn(request.restriction)
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

    /**
     * An idle instance of a group that allows shorter event gaps, for a request that its own group has no room for. The
     * first group lends none: any foreign prompt there delays the most urgent streams.
     */
    fun idleInstanceFor(request: QueuedRequest): InstanceView? =
        (1 until request.group.index)
            .flatMap { index ->
                val group = request.group.copy(index = index)
                poolOf(group, request.restriction).members.filter {
                    groupByInstance[it.instance.id] == index && it.isIdle(policy.windowTokensOf(group))
                }
            }.byAffinity(request)
            ?.instance

    private fun membersWithRoom(
        groupIndex: Int,
        request: QueuedRequest,
    ): List<PoolMember> {
        val pool = poolOf(request.group.copy(index = groupIndex), request.restriction)
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
