/*
 * Computes the shares of instances that the latency groups of an upstream need, from the demand of all entries. The
 * holder of the usage lease plans for all entries. Each change of shares moves instances to another group, whose prefix
 * caches hold none of its parts, so small and frequent changes are avoided.
 */
package io.teaselspring.core.capacity

import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.GroupShares
import io.teaselspring.core.usage.UsageWindow
import kotlin.math.abs

/** Shares that are in force. Unless [isStored], the table has no readable row of them. */
public data class SharesInForce(
    val shares: GroupShares,
    val isStored: Boolean,
)

/** Plans the shares of all upstreams with several groups. Not thread-safe. */
public class SharePlanner {
    private class Average(
        var work: List<Double>,
        var windows: Int = 1,
        var plannedAtMs: Long? = null,
    ) {
        fun isDue(nowMs: Long) =
            windows >= MIN_WINDOWS && plannedAtMs.let { it == null || nowMs - it >= MIN_INTERVAL_MS }
    }

    private val averages = HashMap<UpstreamName, Average>()
    private var lastWindow: UsageWindow? = null

    /** Records the [demand] of all entries in [window]; a window counts once. */
    public fun record(
        window: UsageWindow,
        demand: DemandByUpstream,
    ) {
        lastWindow?.let { if (window <= it) return }
        lastWindow = window
        for (upstream in averages.keys + demand.keys) {
            val work = demand[upstream].orEmpty().map(::workOf)
            val average = averages[upstream]
            if (average == null) {
                averages[upstream] = Average(work)
            } else {
                average.windows += 1
                average.work =
                    List(maxOf(average.work.size, work.size)) {
                        val mean = average.work.getOrElse(it) { 0.0 }
                        mean + (work.getOrElse(it) { 0.0 } - mean) * GAIN
                    }
            }
        }
    }

    /**
     * The shares to publish at [nowMs], in monotonic milliseconds; they count as published. [instancesOf] returns the
     * number of instances of an upstream, and [inForce] its present shares.
     */
    public fun plan(
        nowMs: Long,
        instancesOf: (UpstreamName) -> Int,
        inForce: (UpstreamName) -> SharesInForce,
    ): Map<UpstreamName, GroupShares> {
        val planned = HashMap<UpstreamName, GroupShares>()
        for ((upstream, average) in averages.filterValues { it.isDue(nowMs) }) {
            val instances = instancesOf(upstream)
            val shares = sharesFor(average.work, instances)
            if (shares != null && isWorthPublishing(shares, inForce(upstream), instances)) {
                average.plannedAtMs = nowMs
                planned[upstream] = shares
            }
        }
        return planned
    }
}

/**
 * Work of a group in units of prompt tokens. Requests that arrive and are not sent are assumed to need as much as those
 * that are. Otherwise the share of a group that is too small would never grow.
 */
internal fun workOf(demand: GroupDemand): Double {
    val done = demand.promptTokens.toDouble() + OUTPUT_TOKEN_WORK * demand.outputTokens
    val unmet = demand.arrived.toDouble() / maxOf(1, demand.sent)
    return maxOf(0.0, done) * unmet.coerceIn(1.0, MAX_UNMET)
}

/** The shares for groups with [work], or null if there is no work or are too few instances to partition. */
internal fun sharesFor(
    work: List<Double>,
    instances: Int,
): GroupShares? {
    val total = work.sum()
    if (work.size < 2 || instances < MIN_INSTANCES || total <= 0) return null
    // Shares follow a burst by two windows, in which urgent streams must not lack instances. What a group does not need
    // for the moment is lent to later groups while it is idle.
    val least = maxOf(GroupShares.INITIAL.of(0), 1.0 / instances)
    return GroupShares(work.dropLast(1).map { (it / total).coerceIn(least, MAX_SHARE) })
}

private fun isWorthPublishing(
    planned: GroupShares,
    known: SharesInForce,
    instances: Int,
): Boolean =
    !known.isStored ||
        planned.fractions.withIndex().any { (index, share) ->
            val before = known.shares.of(index)
            val change = abs(share - before)
            change > before * MIN_RELATIVE_CHANGE && change * instances > MIN_CHANGED_INSTANCES
        }

/** An output token takes an engine about as long as ten tokens of a prompt. */
private const val OUTPUT_TOKEN_WORK = 10.0

/** Bounds the effect of callers that repeat refused requests at once. */
private const val MAX_UNMET = 3.0
private const val MAX_SHARE = 0.5
private const val GAIN = 0.25
private const val MIN_RELATIVE_CHANGE = 0.25
private const val MIN_CHANGED_INSTANCES = 1.0

/** With one window a new lease holder would take a moment for the usual demand. */
private const val MIN_WINDOWS = 2
private const val MIN_INTERVAL_MS = 10_000L
private const val MIN_INSTANCES = 4
