/*
 * Partitions the instances of an upstream among groups of requests by their allowed gap between events. The prefill of
 * a long prompt delays the tokens of all requests beside it, so requests with short gaps are kept away from long
 * prompts. Each entry computes the same partition, and an instance that is added or removed moves as few others as
 * possible.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.InstanceId

/**
 * One of the [count] groups of requests of an upstream by their allowed gap between events; group 0 has the shortest.
 * It is independent of the priority and the service class of a request.
 */
public data class LatencyGroup(
    val index: Int,
    val count: Int,
) {
    /** Whether other requests of the upstream allow longer gaps than this one. */
    val isInteractive: Boolean get() = index == 0 && count > 1

    public companion object {
        /** The group of an upstream whose requests are all alike. */
        public val ONLY: LatencyGroup = LatencyGroup(0, 1)
    }
}

/**
 * The group of a request that allows gaps of [eventGapMs] between events, on an upstream whose routes allow
 * [allEventGapsMs]; requests without a bound count as those with the longest.
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

/** The group that each of [ids] serves, of [groups]; empty if there are too few instances to partition. */
internal fun partitionInstances(
    ids: List<InstanceId>,
    groups: Int,
): Map<InstanceId, Int> {
    if (groups < 2 || ids.size < MIN_PARTITIONED_INSTANCES) return emptyMap()
    val ranked = ids.sortedByDescending { rank(PARTITION_SEED, it) }
    val ends =
        PARTITION_FRACTIONS.take(groups - 1).runningFold(0) { end, fraction ->
            end +
                maxOf(1, Math.round(ids.size * fraction).toInt())
        }
    return ranked.withIndex().associate { (place, id) -> id to ends.drop(1).count { place >= it } }
}

/** Those of the [healthy] instances that serve [group] by [partition]; all of them if it has no healthy one. */
internal fun <T> instancesFor(
    group: LatencyGroup,
    healthy: List<T>,
    partition: Map<InstanceId, Int>,
    id: (T) -> InstanceId,
): List<T> {
    if (partition.isEmpty()) return healthy
    return healthy.filter { partition[id(it)] == group.index }.ifEmpty { healthy }
}

/** Order in which instances are assigned to the groups, the highest first to group 0. */
internal fun partitionRank(id: InstanceId): Long = rank(PARTITION_SEED, id)

private const val PARTITION_SEED = "reserve"

private const val MAX_GROUPS = 3

/** With fewer instances the last group would have too few. */
private const val MIN_PARTITIONED_INSTANCES = 4

/** Fractions of the instances for all groups but the last, which has the rest. */
private val PARTITION_FRACTIONS = listOf(0.15, 0.25)
