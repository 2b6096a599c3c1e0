/*
 * Placement of requests on the instances of an upstream that entries call without an agent. Each entry computes the
 * same order of instances for a shared prompt part, so that the part is read into one cache only, and deviates from
 * it when an instance has clearly more work than the others.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId

/**
 * An instance that may be chosen. [load] is its number of requests, running and waiting, as far as this entry knows.
 * [pendingPrefillTokens] are the prompt tokens that this entry has sent there and that have not led to a first token.
 */
public data class PlacementCandidate(
    val id: InstanceId,
    val dataCentre: DataCentre,
    val slots: Int,
    val load: Double,
    val pendingPrefillTokens: Long,
    val isEjected: Boolean,
)

/**
 * What placement needs to know of a request. [sharedPart] identifies the longest part of its prompt that other requests
 * have as well, [localDataCentre] is the one of this entry.
 */
public data class PlacementRequest(
    val sharedPart: String?,
    val group: LatencyGroup,
    val localDataCentre: DataCentre,
)

/**
 * The rules. A request leaves its place in the order when the instance has over [spillRatio] times the mean load plus
 * [spillSlack], or more than [spillPrefillTokens] still to read.
 */
public data class PlacementPolicy(
    val spillRatio: Double = 1.5,
    val spillSlack: Double = 2.0,
    val spillPrefillTokens: Long = 20_000,
)

/**
 * Chooses among [candidates], or returns null if there are none outside [tried]. [random] returns a uniformly
 * distributed integer below its argument.
 */
public fun chooseInstance(
    candidates: List<PlacementCandidate>,
    request: PlacementRequest,
    tried: Set<InstanceId>,
    random: (Int) -> Int,
    policy: PlacementPolicy = PlacementPolicy(),
): PlacementCandidate? {
    val untried = candidates.filter { it.id !in tried }
    val healthy = untried.filter { !it.isEjected }.ifEmpty { untried }
    val partition = partitionInstances(candidates.map { it.id }, request.group.count)
    val pool = instancesFor(request.group, healthy, partition) { it.id }
    if (pool.size <= 1) return pool.firstOrNull()
    val part = request.sharedPart ?: return leastLoaded(pool, request.localDataCentre, random)
    val limit = pool.sumOf { it.load } / pool.size * policy.spillRatio + policy.spillSlack
    val ranked = pool.sortedByDescending { rank(part, it.id) }
    return ranked.firstOrNull { it.load <= limit && it.pendingPrefillTokens <= policy.spillPrefillTokens }
        ?: leastLoaded(pool, request.localDataCentre, random)
}

private fun leastLoaded(
    pool: List<PlacementCandidate>,
    localDataCentre: DataCentre,
    random: (Int) -> Int,
): PlacementCandidate {
    val start = random(pool.size)
    val rotated = pool.drop(start) + pool.take(start)
    return rotated.minBy { it.load / maxOf(1, it.slots) + if (it.dataCentre == localDataCentre) 0.0 else REMOTE_COST }
}

/** Rendezvous hashing: the same on each entry, and a leaving instance moves only its own parts. */
internal fun rank(
    part: String,
    id: InstanceId,
): Long {
    var hash = FNV_OFFSET
    for (char in part) hash = (hash xor char.code.toLong()) * FNV_PRIME
    for (char in id.value) hash = (hash xor char.code.toLong()) * FNV_PRIME
    // FNV leaves the high bits of short inputs badly mixed.
    hash = (hash xor (hash ushr 33)) * MIX_1
    hash = (hash xor (hash ushr 33)) * MIX_2
    return hash xor (hash ushr 33)
}

/** Cost of an instance in another data centre, in full batches. */
private const val REMOTE_COST = 0.05

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val MIX_1 = -49064778989728563L
private const val MIX_2 = -4265267296055464877L
