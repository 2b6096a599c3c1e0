/*
 * The pools of instances of one dispatch, one for each latency group, and the overflow between them.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.DataCentre
import io.teaselspring.core.routing.allows

/** The requests of [group] that are restricted to the data centres [allowed], or not if that is null. */
internal data class PoolKey(
    val group: LatencyGroup,
    val allowed: Set<DataCentre>? = null,
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
    private val healthyByRestriction = HashMap<Set<DataCentre>?, List<InstanceView>>()
    private val groupByInstance = hashes.partition(instances.map { it.id }, groups, shares)
    private val pools = HashMap<PoolKey, InstancePool>()

    /** The instances in [allowed] that are not ejected, or all there if all are. */
    private fun healthyIn(allowed: Set<DataCentre>?) =
        healthyByRestriction.getOrPut(allowed) {
            val within = if (allowed == null) permitted else permitted.filter { allowed.allows(it.dataCentre) }
            within.filter { !it.isEjected }.ifEmpty { within }
        }

    /** The pool of the requests of [group] that may go to the data centres [allowed], or to all if that is null. */
    fun poolOf(
        group: LatencyGroup,
        allowed: Set<DataCentre>? = null,
    ): InstancePool =
        pools.getOrPut(PoolKey(group, allowed)) {
            val members = instancesFor(group, healthyIn(allowed), groupByInstance) { it.id }
            val preferred = hashes.preferredInstances(PoolKey(group, allowed), members)
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
            healthyIn(request.allowedDataCentres)
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
                poolOf(group, request.allowedDataCentres).members.filter {
                    groupByInstance[it.instance.id] == index && it.isIdle(policy.windowTokensOf(group))
                }
            }.byAffinity(request)
            ?.instance

    private fun membersWithRoom(
        groupIndex: Int,
        request: QueuedRequest,
    ): List<PoolMember> {
        val pool = poolOf(request.group.copy(index = groupIndex), request.allowedDataCentres)
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
