/*
 * Partitions the instances of an upstream among latency groups, which are groups of requests by the event gap that they
 * allow. The prefill of a long prompt delays the tokens of all other requests on the same instance, so requests that
 * allow only short event gaps are kept apart from long prompts. Rendezvous hashing gives each entry the same partition,
 * and few other instances change their group when one is added or removed.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.InstanceId

/**
 * One of the [count] latency groups of an upstream. Group 0 allows the shortest event gaps. The group of a request is
 * independent of its priority and its service class.
 */
public data class LatencyGroup(
    val index: Int,
    val count: Int,
) {
    /** Whether other groups of the upstream allow longer event gaps than this one, and none allows shorter ones. */
    val isInteractive: Boolean get() = index == 0 && count > 1

    /** Whether no other group of the upstream allows longer event gaps. */
    internal val isLast: Boolean get() = index == count - 1

    public companion object {
        /** The only group of an upstream whose requests all allow the same event gap. */
        public val ONLY: LatencyGroup = LatencyGroup(0, 1)
    }
}

/**
 * Returns the group of a request that allows event gaps of [eventGapMs], on an upstream whose routes allow
 * [allEventGapsMs]. Requests without a bound belong to the group with the longest event gaps.
 */
public fun latencyGroupOf(
    eventGapMs: Long?,
    allEventGapsMs: List<Long>,
): LatencyGroup {
    val distinct = allEventGapsMs.distinct().sorted()
    if (distinct.size < 2) return LatencyGroup.ONLY
    val count = minOf(distinct.size, MAX_GROUPS)
    val index = distinct.indexOf(eventGapMs).takeIf { it >= 0 } ?: distinct.lastIndex
    return LatencyGroup(minOf(index, count - 1), count)
}

/**
 * Assigns each of [ids] to one of [groups] groups with [shares]; returns an empty map if there are too few instances to
 * partition. The order of the instances does not depend on the shares, so a change of shares moves only the instances
 * between the old and the new ends of groups.
 */
internal fun partitionInstances(
    ids: List<InstanceId>,
    groups: Int,
    shares: GroupShares = GroupShares.FIXED,
): Map<InstanceId, Int> {
    if (groups < 2 || ids.size < MIN_PARTITIONED_INSTANCES) return emptyMap()
    val weights = ids.associateWith { rendezvousWeight(PARTITION_SEED, it) }
    val ranked = ids.sortedByDescending { weights.getValue(it) }
    val ends = shares.ends(ids.size, groups)
    return ranked.withIndex().associate { (position, id) -> id to ends.count { position >= it } }
}

/** Returns the [healthy] instances that [partition] assigns to [group], or all of them if there is none. */
internal fun <T> instancesFor(
    group: LatencyGroup,
    healthy: List<T>,
    partition: Map<InstanceId, Int>,
    id: (T) -> InstanceId,
): List<T> {
    if (partition.isEmpty()) return healthy
    return healthy.filter { partition[id(it)] == group.index }.ifEmpty { healthy }
}

/** Rendezvous weight by which instances are assigned to groups: those with the highest weight belong to group 0. */
internal fun partitionWeight(id: InstanceId): Long = rendezvousWeight(PARTITION_SEED, id)

private const val PARTITION_SEED = "reserve"

private const val MAX_GROUPS = 3

/** With fewer instances the last group would have too few of them. */
private const val MIN_PARTITIONED_INSTANCES = 4

/** Fractions of the instances for the first groups. The last group has the rest. */
internal val PARTITION_FRACTIONS: List<Double> = listOf(0.15, 0.25)
