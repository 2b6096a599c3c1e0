/*
 * The classes of one agent by tier, and the order in which they are served: strict between tiers, by weight and
 * first-token deadline inside a tier.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.ClassName
import java.util.TreeMap

/** All classes with state on one agent; there are few, so they are scanned. */
internal class ClassShares {
    /** Classes by tier, highest tier (1) first. */
    val tiers = TreeMap<Int, MutableList<ClassShare>>()
    private val byName = HashMap<Pair<ClassName, Int>, ClassShare>()

    val queued: Int get() = sum { it.queued }

    /** The lowest tier with queued or running work. */
    val lowestTier: Int? get() =
        tiers
            .descendingMap()
            .entries
            .firstOrNull { tier -> tier.value.any { it.active } }
            ?.key

    fun all(): List<ClassShare> = tiers.values.flatten()

    /** The class of [request], created or raised to the lowest active class of its tier if it had no work. */
    fun activate(request: OfferedRequest): ClassShare {
        val share =
            byName.getOrPut(request.serviceClass to request.tier) {
                ClassShare(request.serviceClass, request.tier).also {
                    tiers.getOrPut(request.tier) { mutableListOf() } +=
                        it
                }
            }
        share.weight = maxOf(1, request.classWeight)
        if (!share.active) {
            val lowest = tiers.getValue(request.tier).filter { it.active }.minOfOrNull { it.virtualTokens }
            share.virtualTokens = maxOf(share.virtualTokens, lowest ?: 0.0)
        }
        return share
    }

    /** The class to serve next in [tier], or null. */
    fun nextIn(tier: Int): ClassShare? {
        val waiting = tiers[tier].orEmpty().filter { it.queued > 0 }
        if (waiting.size <= 1) return waiting.firstOrNull()
        val lowest = waiting.minOf { it.virtualTokens }
        return waiting
            .filter { it.virtualTokens <= lowest + DEADLINE_WINDOW * it.times.tokens / it.weight }
            .minByOrNull { it.head()?.request?.firstTokenDeadlineMs ?: Long.MAX_VALUE }
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

    private inline fun sum(count: (ClassShare) -> Int): Int = tiers.values.sumOf { tier -> tier.sumOf(count) }

    private companion object {
        /** Requests by which a class may run ahead of its weighted share to meet an earlier deadline. */
        const val DEADLINE_WINDOW = 4.0
    }
}
