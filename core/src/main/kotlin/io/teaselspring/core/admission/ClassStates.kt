/*
 * The service classes of one agent by tier, and the order in which they are served: strict priority between tiers,
 * weighted fair queueing with earliest deadline first among nearly equal classes within a tier.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.ClassName
import java.util.TreeMap

/** All classes with state on one agent. Lookups scan them linearly because there are few. */
internal class ClassStates {
    /** Classes by tier, highest tier (1) first. */
    val tiers = TreeMap<Int, MutableList<ClassState>>()
    private val byName = HashMap<Pair<ClassName, Int>, ClassState>()

    val queued: Int get() = sum { it.queued }

    /** The lowest tier with queued or running work. */
    val lowestActiveTier: Int? get() =
        tiers
            .descendingMap()
            .entries
            .firstOrNull { tier -> tier.value.any { it.active } }
            ?.key

    fun all(): List<ClassState> = tiers.values.flatten()

    /**
     * Returns the class of [request], created if missing. A class without work is raised to the lowest virtual token
     * count of the active classes in its tier, so that idle time earns no credit.
     */
    fun activate(request: OfferedRequest): ClassState {
        val state =
            byName.getOrPut(request.serviceClass to request.tier) {
                ClassState(request.serviceClass, request.tier).also {
                    tiers.getOrPut(request.tier) { mutableListOf() } +=
                        it
                }
            }
        state.weight = maxOf(1, request.classWeight)
        if (!state.active) {
            val lowest = tiers.getValue(request.tier).filter { it.active }.minOfOrNull { it.virtualTokens }
            state.virtualTokens = maxOf(state.virtualTokens, lowest ?: 0.0)
        }
        return state
    }

    /** The class to serve next in [tier], or null if none has queued work. */
    fun nextClass(tier: Int): ClassState? {
        val waiting = tiers[tier].orEmpty().filter { it.queued > 0 }
        if (waiting.size <= 1) return waiting.firstOrNull()
        val lowest = waiting.minOf { it.virtualTokens }
        return waiting
            .filter { it.virtualTokens <= lowest + DEADLINE_WINDOW_REQUESTS * it.times.meanTokens / it.weight }
            .minByOrNull { it.nextAttempt()?.request?.firstTokenDeadlineMs ?: Long.MAX_VALUE }
    }

    /** The highest tier with queued work. */
    fun highestWaitingTier(): Int? = tiers.entries.firstOrNull { tier -> tier.value.any { it.queued > 0 } }?.key

    /** The lowest tier with queued work. */
    fun lowestWaitingTier(): Int? =
        tiers
            .descendingMap()
            .entries
            .firstOrNull { tier -> tier.value.any { it.queued > 0 } }
            ?.key

    private inline fun sum(count: (ClassState) -> Int): Int = tiers.values.sumOf { tier -> tier.sumOf(count) }

    private companion object {
        /** Number of requests by which a class may exceed its weighted share to meet an earlier deadline. */
        const val DEADLINE_WINDOW_REQUESTS = 4.0
    }
}
