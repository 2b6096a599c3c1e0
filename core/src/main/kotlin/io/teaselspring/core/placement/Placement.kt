/*
 * Load balancing with prefix-cache affinity over the instances of an upstream that entries call without an agent.
 * Rendezvous hashing gives each entry the same order of instances for a shared part of a prompt, so that the part is
 * prefilled on one instance only. A request spills over to the next instance in this order when the load of an instance
 * is far above the mean.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import kotlin.math.ln

/**
 * An instance that may be chosen. [load] is this entry's estimate of its running and waiting requests.
 * [pendingPrefillTokens] is the number of prompt tokens of the requests that this entry has sent there and that have
 * not produced a first token yet. [hasPermit] is false while a limit that the instance states permits no request.
 * [ownRequests] are those of this entry in [load]. [version] is that of its software, null if unknown, and
 * [isVersionRecorded] tells whether the entries have recorded that it serves.
 */
public data class PlacementCandidate(
    val id: InstanceId,
    val dataCentre: DataCentre,
    val slots: Int,
    val load: Double,
    val pendingPrefillTokens: Long,
    val isEjected: Boolean,
    val hasPermit: Boolean = true,
    val ownRequests: Int = 0,
    val version: String? = "",
    val isVersionRecorded: Boolean = true,
)

/**
 * The properties of a request that decide its placement. [sharedPart] identifies the longest part of its prompt that
 * it shares with other requests. [localDataCentre] is the data centre of this entry. [restriction] tells which
 * instances it may be sent to.
 */
public data class PlacementRequest(
    val sharedPart: String?,
    val group: LatencyGroup,
    val localDataCentre: DataCentre,
    val restriction: InstanceRestriction = InstanceRestriction.NONE,
)

/**
 * Thresholds of placement. A request spills over to the next instance in its order when the load of an instance is more
 * than [spillRatio] times the mean load plus [spillSlack], or when more than [spillPrefillTokens] are pending there.
 */
public data class PlacementPolicy(
    val spillRatio: Double = 1.5,
    val spillSlack: Double = 2.0,
    val spillPrefillTokens: Long = 20_000,
)

/**
 * Chooses one of [candidates], or returns null if all that are allowed and have a permit are in [tried]. A request
 * without a shared part goes to the least loaded instance, as does one for which every instance is over a threshold of
 * [policy]. [random] returns a uniformly distributed non-negative integer below its argument. With [leaving], a
 * request without a shared part leaves its data centre only where that pays. The latency groups have [shares] of the
 * candidates.
 */
public fun chooseInstance(
    candidates: List<PlacementCandidate>,
    request: PlacementRequest,
    tried: Set<InstanceId>,
    random: (Int) -> Int,
    policy: PlacementPolicy = PlacementPolicy(),
    leaving: LeavingContext? = null,
    shares: GroupShares = GroupShares.FIXED,
): PlacementCandidate? {
    val untried =
        candidates.filter {
            it.id !in tried &&
                it.hasPermit &&
                request.restriction.allows(it.dataCentre, it.version, it.isVersionRecorded)
        }
    val healthy = untried.filter { !it.isEjected }.ifEmpty { untried }
    val partition = partitionInstances(candidates.map { it.id }, request.group.count, shares)
    val pool = instancesFor(request.group, healthy, partition) { it.id }
    if (pool.size <= 1) return pool.firstOrNull()
    val part = request.sharedPart
    if (part == null && leaving != null) {
        return chooseAcrossDataCentres(pool, leaving) { random(RANDOM_STEPS) / RANDOM_STEPS.toDouble() }
    }
    if (part == null) return leastLoaded(pool, request.localDataCentre, random)
    val maxLoad = pool.sumOf { it.load } / pool.size * policy.spillRatio + policy.spillSlack
    val ranked = pool.sortedByDescending { rendezvousWeight(part, it.id) }
    return ranked.firstOrNull { it.load <= maxLoad && it.pendingPrefillTokens <= policy.spillPrefillTokens }
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

/**
 * Rendezvous (highest random weight) hash of [part] and [id]. It is the same on each entry, and the removal of an
 * instance moves only the parts that were placed on it.
 */
internal fun rendezvousWeight(
    part: String,
    id: InstanceId,
): Long {
    var hash = FNV_OFFSET
    for (char in part) hash = (hash xor char.code.toLong()) * FNV_PRIME
    for (char in id.value) hash = (hash xor char.code.toLong()) * FNV_PRIME
    return finalized(hash)
}

/** Hash of [text] that is the same on each entry. */
internal fun mixedHash(text: String): Long =
    finalized(text.fold(FNV_OFFSET) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME })

/** The finalizer of MurmurHash3: FNV-1a alone mixes the high bits of short inputs badly. */
private fun finalized(fnv: Long): Long {
    var hash = (fnv xor (fnv ushr 33)) * MIX_1
    hash = (hash xor (hash ushr 33)) * MIX_2
    return hash xor (hash ushr 33)
}

/**
 * Weighted rendezvous hash: among several instances, each has the highest score for a share of the parts that is
 * proportional to its [speed]. With equal speeds the order is that of [rendezvousWeight].
 */
internal fun rendezvousScore(
    part: String,
    id: InstanceId,
    speed: Double,
): Double {
    // Maps the signed hash to the open interval from 0 to 1 and keeps its order.
    val uniform = (((rendezvousWeight(part, id) xor Long.MIN_VALUE) ushr HASH_BITS_DROPPED) + 0.5) / UNIFORM_STEPS
    return ln(uniform) / speed
}

/** Cost of an instance in another data centre, in full batches. */
private const val REMOTE_COST = 0.05

private const val RANDOM_STEPS = 1 shl 20

/** A double holds 53 bits of the hash. */
private const val HASH_BITS_DROPPED = 11
private const val UNIFORM_STEPS = (1L shl 53).toDouble()
private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val MIX_1 = -49064778989728563L
private const val MIX_2 = -4265267296055464877L
