/*
 * The instances that a queue may send the requests of one latency group to during one dispatch, and the room that each
 * of them has for a request.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.InstanceId

/** An instance of a pool, and what all other entries are assumed to have there. */
internal class PoolMember(
    val instance: InstanceView,
    val othersRequests: Double,
    private val othersPendingTokens: Double,
) {
    /** Estimate of the requests of all entries that run or wait on the instance. */
    val requests: Double get() = instance.load.ownRequests + othersRequests

    /** Estimate of the pending prefill tokens of all entries on the instance. */
    val pendingTokens: Double get() = instance.pendingPrefillTokens + othersPendingTokens

    /** Whether another request gets a slot without waiting and without preempting one, as far as known. */
    val hasSlot: Boolean get() = requests < instance.usableSlots
}

/**
 * The [instances] of [group], which [entries] entries share. Each of the other entries is assumed to have as many
 * pending prefill tokens on these instances as this entry has on average. [meanSize] is that of the prompts of [group],
 * and [workingSetTokens] are those of the parts that they share.
 */
internal class InstancePool(
    instances: List<InstanceView>,
    private val preferredInstances: PreferredInstances,
    group: LatencyGroup,
    private val policy: QueuePolicy,
    private val entries: Int,
    private val meanSize: PromptSize?,
    workingSetTokens: Double?,
    averages: PendingAverages,
    nowMs: Long,
) {
    private val cachedTokensPerSpeed = workingSetTokens?.div(instances.sumOf { it.speed }.coerceAtLeast(1.0))
    private val windowTokens = policy.windowTokensOf(group)
    val members: List<PoolMember> = poolMembers(instances, entries, averages, nowMs)

    /** Members that may have room for a request that spills over. Each dispatch only adds to what runs there. */
    val spillCandidates: List<PoolMember> by lazy {
        members.filter { it.hasSlot && hasMemory(it, 0.0, isSpill = true) }
    }

    /** The member that comes first in the rendezvous order of the shared part of [request]. */
    fun preferredFor(request: QueuedRequest): PoolMember? =
        preferredInstances.positionFor(request.affinityPart)?.let { members[it] }

    /** The preferred instance of [request], unless that is [instance] itself. */
    fun holderBeside(
        instance: InstanceView,
        request: QueuedRequest,
    ): InstanceId? = preferredFor(request)?.instance?.takeIf { it !== instance && !it.isEjected }?.id

    /**
     * Whether [member] has room for [request], with [uncachedTokens] to prefill. A request that spills over leaves more
     * of the memory to the prefix cache.
     */
    fun hasRoom(
        member: PoolMember,
        request: QueuedRequest,
        isSpill: Boolean = false,
        uncachedTokens: () -> Long,
    ): Boolean =
        member.instance.hasPermit &&
            member.hasSlot &&
            hasMemory(member, countedTokens(request.size.unsharedTokens, meanSize?.unsharedTokens), isSpill) &&
            hasPrefillRoom(member, countedTokens(uncachedTokens().toDouble(), meanSize?.promptTokens).toLong())

    /**
     * The tokens that decide on the room for a request with [tokens]: at most [meanTokens]. Otherwise short prompts
     * take whatever room a full instance gets, and long ones wait until they are refused.
     */
    private fun countedTokens(
        tokens: Double,
        meanTokens: Double?,
    ) = minOf(tokens, meanTokens ?: tokens)

    private fun hasPrefillRoom(
        member: PoolMember,
        uncachedTokens: Long,
    ): Boolean =
        member.instance.fitsShareOf(windowTokens, entries, uncachedTokens) &&
            (
                member.pendingTokens <= windowTokens * member.instance.speed * IDLE_WINDOW_FRACTION ||
                    member.pendingTokens + uncachedTokens <= windowTokens * member.instance.speed
            )

    private fun hasMemory(
        member: PoolMember,
        unsharedTokens: Double,
        isSpill: Boolean,
    ): Boolean {
        val memoryTokens = member.instance.memoryTokens ?: return true
        // An idle instance accepts a request of any size.
        if (member.requests < 1) return true
        val othersTokens = member.othersRequests * (meanSize?.unsharedTokens ?: unsharedTokens)
        val mostTokens =
            runningTokens(memoryTokens, member.instance.speed) * (if (isSpill) policy.spillMemoryShare else 1.0)
        return member.instance.load.unsharedTokens + othersTokens + unsharedTokens <= mostTokens
    }

    /** Tokens of [memoryTokens] that the prompts of running requests may take. */
    private fun runningTokens(
        memoryTokens: Long,
        speed: Double,
    ): Double {
        val cachedTokens = cachedTokensPerSpeed?.times(speed) ?: return memoryTokens * policy.runningMemoryFraction
        val free = (memoryTokens - cachedTokens) * FREE_SHARE
        return free.coerceIn(memoryTokens * MIN_RUNNING_FRACTION, memoryTokens * MAX_RUNNING_FRACTION)
    }

    private companion object {
        /** Share of the memory beside the shared parts for the running prompts: their responses need the rest. */
        const val FREE_SHARE = 0.6
        const val MIN_RUNNING_FRACTION = 0.1
        const val MAX_RUNNING_FRACTION = 0.8

        /** With less of its window pending, an instance accepts a prompt that is larger than the window. */
        const val IDLE_WINDOW_FRACTION = 0.02
    }
}

/**
 * Part of the requests of other entries that goes to the same instances as those of this entry, because they have
 * popular shared parts. The others are spread over all instances.
 */
private const val SAME_INSTANCE_WEIGHT = 0.25

private fun poolMembers(
    instances: List<InstanceView>,
    entries: Int,
    averages: PendingAverages,
    nowMs: Long,
): List<PoolMember> {
    val otherEntries = OtherEntriesLoad(instances.map { it.load }, nowMs)
    val pending = instances.map { averages.update(it.id, it.pendingPrefillTokens, entries, nowMs) }
    val meanPending = pending.sum() / maxOf(1, instances.size)
    return instances.mapIndexed { index, instance ->
        val average = SAME_INSTANCE_WEIGHT * pending[index] + (1 - SAME_INSTANCE_WEIGHT) * meanPending
        PoolMember(instance, otherEntries.requestsOn(instance.load), (entries - 1) * average)
    }
}

/** The member that comes first in the rendezvous order of the shared part of [request]. */
internal fun List<PoolMember>.byAffinity(request: QueuedRequest): PoolMember? =
    maxByOrNull { rendezvousScore(request.affinityPart, it.instance.id, it.instance.speed) }

internal fun QueuePolicy.windowTokensOf(group: LatencyGroup) =
    if (group.isLast) windowTokens else interactiveWindowTokens

/** Whether this entry's pending prefill tokens leave room for [uncachedTokens] in its share of [windowTokens]. */
internal fun InstanceView.fitsShareOf(
    windowTokens: Long,
    entries: Int,
    uncachedTokens: Long,
): Boolean = pendingPrefillTokens == 0L || pendingPrefillTokens + uncachedTokens <= windowTokens * speed / entries
