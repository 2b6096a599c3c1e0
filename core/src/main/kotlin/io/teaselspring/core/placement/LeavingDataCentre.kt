/*
 * Whether a request without a prompt leaves the data centre of its entry, and how many do. A request leaves where its
 * expected time elsewhere, with the cost of the way, is below that at home. How many leave is bounded by what the other
 * data centre has free, divided among the entries that overflow: all of them see the same reports, and without the
 * bound all would send their overflow to the data centre that was idle a moment ago.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.DataCentre

/**
 * Cost of leaving a data centre. A gigabyte between data centres is worth [remoteGbCostMs] of waiting time. Requests
 * leave only for a gain of more than [minGainRatio] of the service time, since estimates of load are that uncertain.
 */
public data class LeavingPolicy(
    val remoteGbCostMs: Double = DEFAULT_REMOTE_GB_COST_MS,
    val minGainRatio: Double = 0.25,
) {
    /** What it costs to send [bytes] to a data centre whose round trip takes [roundTripMs] longer than at home. */
    public fun costMs(
        roundTripMs: Double,
        bytes: Double,
    ): Double = roundTripMs + bytes / BYTES_PER_GB * remoteGbCostMs

    public companion object {
        /** At 20 s a gigabyte, a request of 20 kB goes to another data centre for a gain of 0.4 ms and more. */
        public const val DEFAULT_REMOTE_GB_COST_MS: Double = 20_000.0
        private const val BYTES_PER_GB = 1e9
    }
}

/**
 * What an entry in the data centre [home], one of [entries], knows for the choice. [serviceMs] is the usual time of a
 * request on an idle instance, and [costMs] the cost of each other data centre.
 */
public class LeavingContext(
    public val home: DataCentre,
    public val entries: Int,
    public val serviceMs: Double,
    public val policy: LeavingPolicy = LeavingPolicy(),
    public val costMs: (DataCentre) -> Double,
)

/**
 * Chooses one of [candidates] for a request of an entry in [context]; null if there is none. [random] returns a
 * uniformly distributed number from 0 until 1.
 */
public fun chooseAcrossDataCentres(
    candidates: List<PlacementCandidate>,
    context: LeavingContext,
    random: () -> Double,
): PlacementCandidate? {
    val (local, remote) = candidates.partition { it.dataCentre == context.home }
    val best = local.fastest(context, random)
    val elsewhere = remote.groupBy { it.dataCentre }
    // Without an instance at home there is no alternative to leaving, so only the free capacity decides where to.
    if (best == null) return remote.byFreeSlots(random) ?: remote.fastest(context, random)
    val minGainMs = context.serviceMs * context.policy.minGainRatio
    val mostMs = best.expectedMs(context.serviceMs) - minGainMs
    val overflowing = sharingEntries(candidates, context)
    return elsewhere
        .mapNotNull { (dataCentre, members) ->
            val fastest = members.fastest(context, random)
            fastest?.let { it to it.expectedMs(context.serviceMs) + context.costMs(dataCentre) }
        }.sortedBy { it.second }
        .firstOrNull { (candidate, ms) ->
            ms < mostMs && random() < quota(elsewhere.getValue(candidate.dataCentre), overflowing)
        }?.first ?: best
}

/**
 * Requests that this entry may have in progress at the data centre of [members] beyond those that it has, possibly a
 * fraction: its part of what is free there.
 */
private fun quota(
    members: List<PlacementCandidate>,
    overflowingEntries: Double,
): Double = members.sumOf { it.freeSlots } / overflowingEntries - members.sumOf { it.ownRequests }

/** The entries that may overflow now: as many as there are, times the part of the data centres without a free slot. */
private fun sharingEntries(
    candidates: List<PlacementCandidate>,
    context: LeavingContext,
): Double {
    val free = candidates.groupBy { it.dataCentre }.mapValues { (_, members) -> members.sumOf { it.freeSlots } }
    val overflowing = free.count { (dataCentre, slots) -> dataCentre == context.home || slots < 1 }
    return maxOf(1.0, context.entries.toDouble() * overflowing / free.size)
}

private fun List<PlacementCandidate>.fastest(
    context: LeavingContext,
    random: () -> Double,
): PlacementCandidate? {
    if (isEmpty()) return null
    val start = (random() * size).toInt().coerceAtMost(lastIndex)
    return (drop(start) + take(start)).minBy { it.expectedMs(context.serviceMs) }
}

private fun List<PlacementCandidate>.byFreeSlots(random: () -> Double): PlacementCandidate? {
    var remaining = random() * sumOf { it.freeSlots }
    return firstOrNull { (remaining < it.freeSlots).also { _ -> remaining -= it.freeSlots } }
}

private val PlacementCandidate.freeSlots: Double get() = maxOf(0.0, slots - load)

/**
 * Expected time of a request on the instance. While slots are free, the load still counts in part: an instance with
 * more requests is more likely to be full when the request arrives.
 */
private fun PlacementCandidate.expectedMs(serviceMs: Double): Double {
    val occupied = load / maxOf(1, slots)
    val waiting = maxOf(0.0, load + 1 - slots) / maxOf(1, slots)
    return serviceMs * (1 + waiting + occupied * UNSEEN_LOAD_WEIGHT)
}

/** Weight of the occupied slots of an instance that is not full. */
private const val UNSEEN_LOAD_WEIGHT = 0.3
