/*
 * Shares the engines of an upstream out to groups of calls by their allowed pauses. The prefill of a long prompt
 * delays the tokens of all calls beside it, so calls with short pauses keep away from long prompts. Each entry
 * computes the same shares, and an engine that comes or goes moves as few others as possible.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.InstanceId

/** One of the [count] groups of calls of an upstream; those of group 0 have the shortest allowed pauses. */
public data class CallGroup(
    val index: Int,
    val count: Int,
) {
    /** Whether other calls of the upstream allow longer pauses than this one. */
    val isInteractive: Boolean get() = index == 0 && count > 1

    public companion object {
        /** The group of an upstream whose calls are all alike. */
        public val ONLY: CallGroup = CallGroup(0, 1)
    }
}

/**
 * The group of a call that allows pauses of [pauseMs] on an upstream whose routes allow [allPausesMs]; calls without a
 * bound on pauses count as those with the longest.
 */
public fun groupOf(
    pauseMs: Long?,
    allPausesMs: List<Long>,
): CallGroup {
    val distinct = allPausesMs.distinct().sorted()
    if (distinct.size < 2) return CallGroup.ONLY
    val count = minOf(distinct.size, MOST_GROUPS)
    val index = distinct.indexOf(pauseMs).takeIf { it >= 0 } ?: distinct.lastIndex
    return CallGroup(minOf(index, count - 1), count)
}

/** The group that each of [ids] serves, of [groups]; empty if there are too few to share out. */
internal fun shareOut(
    ids: List<InstanceId>,
    groups: Int,
): Map<InstanceId, Int> {
    if (groups < 2 || ids.size < LEAST_SHARED) return emptyMap()
    val ranked = ids.sortedByDescending { rank(SHARES_SEED, it) }
    val ends =
        SHARES.take(groups - 1).runningFold(0) { end, share ->
            end +
                maxOf(1, Math.round(ids.size * share).toInt())
        }
    return ranked.withIndex().associate { (place, id) -> id to ends.drop(1).count { place >= it } }
}

/** Those of [sound] engines that serve [group] by [shares]; all of them if it has none left. */
internal fun <T> soundOf(
    group: CallGroup,
    sound: List<T>,
    shares: Map<InstanceId, Int>,
    id: (T) -> InstanceId,
): List<T> = if (shares.isEmpty()) sound else sound.filter { shares[id(it)] == group.index }.ifEmpty { sound }

/** Order in which engines are given to the groups, first to group 0. */
internal fun shareRank(id: InstanceId): Long = rank(SHARES_SEED, id)

private const val SHARES_SEED = "reserve"

private const val MOST_GROUPS = 3

/** With fewer engines the last group would lose too much. */
private const val LEAST_SHARED = 4

/** Shares of all groups but the last, which has the rest. */
private val SHARES = listOf(0.15, 0.25)
