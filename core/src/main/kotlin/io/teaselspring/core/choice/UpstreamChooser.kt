/*
 * Load balancing over agents by the power of two choices: of two random candidates, the one with the lower cost
 * receives the offer. Load reports are stale, so if each entry chose the least loaded agent, all would choose the same
 * one. Prefix-cache affinity comes first: the agent that is likely to have the prompt's prefix in its cache is chosen
 * if that doesn't exceed a load bound.
 */
package io.teaselspring.core.choice

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.ModelName
import io.teaselspring.core.UpstreamName

/**
 * The properties of a request that decide which agent it is offered to. [prefixHash] identifies the prefix of the
 * prompt for prefix-cache affinity. With [displace], agents that have requests of a lower tier come first.
 */
public data class ChoiceRequest(
    val upstream: UpstreamName,
    val model: ModelName?,
    val tier: Int,
    val prefixHash: Long? = null,
    val displace: Boolean = false,
)

/**
 * Chooses the agent for the next offer, or returns null if there is no eligible agent outside [tried]. An agent whose
 * upstream wants a pause is not eligible. Agents without a connection are eligible only if no agent that serves the
 * request has one. [random] returns a uniformly distributed non-negative integer below its argument.
 */
public fun chooseAgent(
    agents: Collection<AgentView>,
    request: ChoiceRequest,
    localDataCentre: DataCentre,
    tried: Set<InstanceId>,
    nowMs: Long,
    random: (Int) -> Int,
): InstanceId? {
    val serving = agents.filter { it.serves(request) && nowMs >= it.pausedUntilMs }
    val pool = serving.filter { it.connected }.ifEmpty { serving }
    val untried = pool.filter { it.instance !in tried }
    val eligible = if (request.displace) untried.displaceable(request.tier, nowMs) else untried
    val probeGraceMs = if (request.tier == 1) PROBE_GRACE_MS else 0
    val candidates =
        eligible
            .filter {
                it.ejectedUntilMs == 0L || nowMs >= it.ejectedUntilMs + probeGraceMs
            }.ifEmpty { eligible }
    if (candidates.size <= 1) return candidates.firstOrNull()?.instance
    // An idle agent whose ejection has ended is chosen for its probe here, because its batch limit may be so low that
    // its cost is never the lower one.
    candidates
        .firstOrNull { request.tier > 1 && it.ejectedUntilMs > 0 && it.loadWith(0) == 0.0 }
        ?.let { return it.instance }
    val affinityAgent = request.prefixHash?.let { prefixAffinityAgent(candidates, it) }
    return (affinityAgent ?: candidates.lowerCostOfTwo(pool, localDataCentre, random)).instance
}

/** Time until the first pause ends, or null unless the upstreams of all agents that serve [request] want one. */
public fun pausedForMs(
    agents: Collection<AgentView>,
    request: ChoiceRequest,
    nowMs: Long,
): Long? =
    agents
        .filter { it.serves(request) }
        .minOfOrNull { it.pausedUntilMs - nowMs }
        ?.takeIf { it > 0 }

/**
 * When to come back in ms if the upstreams of all agents that serve [request] want a pause, else null: spread over the
 * second after the first pause ends. Callers are told whole seconds, rounded up, so that a shorter spread would let
 * most of them return in the same second. [random] is as in [chooseAgent].
 */
public fun pausedRetryAfterMs(
    agents: Collection<AgentView>,
    request: ChoiceRequest,
    nowMs: Long,
    random: (Int) -> Int,
): Long? = pausedForMs(agents, request, nowMs)?.let { it + random(PAUSE_SPREAD_MS) }

private const val PAUSE_SPREAD_MS = 1_000

private fun AgentView.serves(request: ChoiceRequest) =
    upstream == request.upstream && !draining && (request.model == null || request.model in models)

/**
 * Agents on which a request of [tier] may displace another: those that report a request of a lower tier. If there are
 * none, those that have a free slot, or whose report is too old to rule out a request of a lower tier.
 */
private fun List<AgentView>.displaceable(
    tier: Int,
    nowMs: Long,
): List<AgentView> =
    filter { (it.lowestTier ?: 0) > tier }
        .ifEmpty { filter { it.running < it.limit || nowMs - it.reportedAtMs > FRESH_REPORT_MS } }

private fun List<AgentView>.lowerCostOfTwo(
    pool: List<AgentView>,
    localDataCentre: DataCentre,
    random: (Int) -> Int,
): AgentView {
    val firstIndex = random(size)
    val secondIndex = (firstIndex + 1 + random(size - 1)) % size
    val latencies = PeerLatencies(pool)
    val first = this[firstIndex]
    val second = this[secondIndex]
    val isFirstCheaper = first.cost(localDataCentre, latencies) <= second.cost(localDataCentre, latencies)
    val lowerCost = if (isFirstCheaper) first else second
    if (lowerCost.hasRoom()) return lowerCost
    // The agent would queue the request; another one may have a free slot.
    return filter { it.hasRoom() }.minByOrNull { it.cost(localDataCentre, latencies) } ?: lowerCost
}

private fun AgentView.hasRoom() = loadWith(1) <= limit

private fun AgentView.cost(
    localDataCentre: DataCentre,
    latencies: PeerLatencies,
): Double {
    val distance = if (dataCentre == localDataCentre) 0.0 else REMOTE_COST
    // Once its ejection has ended, an agent's slowdown is ignored, so that it receives a request as a probe.
    val slowdown = if (ejectedUntilMs > 0) 1.0 else latencies.slowdown(this)
    return loadWith(1) / maxOf(1, limit) * slowdown + distance
}

/** Running and queued requests of the agent, those sent since its report, and [additional] requests. */
internal fun AgentView.loadWith(additional: Int): Double =
    (maxOf(0, running + queued + sentSinceReport) + additional).toDouble()

/** Cost of an agent in another data centre, in full batches. It is small, so that a little more load outweighs it. */
private const val REMOTE_COST = 0.1

/**
 * Time after the end of an ejection in which the highest tier still avoids the agent. A probe may be slow, so requests
 * of other tiers probe the agent first.
 */
private const val PROBE_GRACE_MS = 15_000L

/** A report younger than this rules out an agent that reports no request of a lower tier. */
private const val FRESH_REPORT_MS = 1000L
