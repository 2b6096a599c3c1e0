/*
 * Choice of the agent for an offer: two random candidates, the one with the lower cost wins, unless the agent whose
 * prefix cache is warm for the prompt can take it without exceeding a load bound. Reports are stale, so taking the
 * least loaded agent would make all entries choose the same one.
 */
package io.teaselspring.core.choice

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.ModelName
import io.teaselspring.core.UpstreamName

/**
 * What a request needs from an agent. [prefixHash] identifies the start of the prompt for prefix-cache affinity. With
 * [displace], agents that have work of a lower tier come first.
 */
public data class ChoiceRequest(
    val upstream: UpstreamName,
    val model: ModelName?,
    val tier: Int,
    val prefixHash: Long? = null,
    val displace: Boolean = false,
)

/**
 * Picks the agent for the next offer, or null when no eligible agent is left outside [tried]. Agents without a
 * connection are eligible only when there is none with one. [random] returns a uniformly distributed integer below its
 * argument.
 */
public fun chooseAgent(
    agents: Collection<AgentView>,
    request: ChoiceRequest,
    localDataCentre: DataCentre,
    tried: Set<InstanceId>,
    nowMs: Long,
    random: (Int) -> Int,
): InstanceId? {
    val serving = agents.filter { it.serves(request) }
    val pool = serving.filter { it.connected }.ifEmpty { serving }
    val untried = pool.filter { it.instance !in tried }
    val eligible = if (request.displace) untried.displaceable(request.tier, nowMs) else untried
    val graceMs = if (request.tier == 1) PROBE_GRACE_MS else 0
    val candidates =
        eligible
            .filter {
                it.ejectedUntilMs == 0L || nowMs >= it.ejectedUntilMs + graceMs
            }.ifEmpty { eligible }
    if (candidates.size <= 1) return candidates.firstOrNull()?.instance
    // An ejected agent gets its probe when it is due: its batch limit may be so low that its cost never wins.
    candidates
        .firstOrNull { request.tier > 1 && it.ejectedUntilMs > 0 && it.work(0) == 0.0 }
        ?.let { return it.instance }
    val affine = request.prefixHash?.let { affineAgent(candidates, it) }
    return (affine ?: candidates.betterOfTwo(pool, localDataCentre, random)).instance
}

private fun AgentView.serves(request: ChoiceRequest) =
    upstream == request.upstream && !draining && (request.model == null || request.model in models)

/**
 * Agents on which a request of [tier] may displace something: those known to have work of a lower tier, otherwise those
 * of which nothing else is known for certain because their report is old or they have room.
 */
private fun List<AgentView>.displaceable(
    tier: Int,
    nowMs: Long,
): List<AgentView> =
    filter { (it.lowestTier ?: 0) > tier }
        .ifEmpty { filter { it.running < it.limit || nowMs - it.reportedAtMs > FRESH_REPORT_MS } }

private fun List<AgentView>.betterOfTwo(
    pool: List<AgentView>,
    localDataCentre: DataCentre,
    random: (Int) -> Int,
): AgentView {
    val firstIndex = random(size)
    val secondIndex = (firstIndex + 1 + random(size - 1)) % size
    val speeds = PeerSpeeds(pool)
    val first = this[firstIndex]
    val second = this[secondIndex]
    val better = if (first.cost(localDataCentre, speeds) <= second.cost(localDataCentre, speeds)) first else second
    if (better.hasRoom()) return better
    // Both would queue the request; another one may have room.
    return filter { it.hasRoom() }.minByOrNull { it.cost(localDataCentre, speeds) } ?: better
}

private fun AgentView.hasRoom() = work(1) <= limit

private fun AgentView.cost(
    localDataCentre: DataCentre,
    speeds: PeerSpeeds,
): Double {
    val distance = if (dataCentre == localDataCentre) 0.0 else REMOTE_COST
    // Once its ejection has ended, an agent counts as healthy, so that it gets a request that probes it.
    val slowness = if (ejectedUntilMs > 0) 1.0 else speeds.slowness(this)
    return work(1) / maxOf(1, limit) * slowness + distance
}

/** Requests that the agent has, with those sent since its report and [more]. */
internal fun AgentView.work(more: Int): Double = (maxOf(0, running + queued + sentSinceReport) + more).toDouble()

/** Cost of an agent in another data centre, in full batches: small, so that load outweighs distance soon. */
private const val REMOTE_COST = 0.1

/** Time that the highest tier leaves to the others to probe an agent that was ejected, because a probe may be slow. */
private const val PROBE_GRACE_MS = 15_000L

/** Reports younger than this are believed when they say that an agent has nothing to displace. */
private const val FRESH_REPORT_MS = 1000L
