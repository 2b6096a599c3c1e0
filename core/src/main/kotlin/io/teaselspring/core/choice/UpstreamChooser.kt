/*
 * Choice of the agent for an offer: what an entry knows about each agent, and the rule that picks one.
 */
package io.teaselspring.core.choice

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.ModelName
import io.teaselspring.core.UpstreamName

/** What an entry knows about one agent. Times are on the entry's monotonic clock, in milliseconds. */
public data class AgentView(
    val instance: InstanceId,
    val dataCentre: DataCentre,
    val upstream: UpstreamName,
    val models: Set<ModelName>,
    val connected: Boolean = false,
    val draining: Boolean = false,
    val running: Int = 0,
    val queued: Int = 0,
    val limit: Int = 1,
    val lowestTier: Int? = null,
    val firstTokenEstimateMs: Long = 0,
    val reportedAtMs: Long = 0,
    val sentSinceReport: Int = 0,
    val firstTokenAverageMs: Double? = null,
    val betweenTokensAverageMs: Double? = null,
    val avoidUntilMs: Long = 0,
)

/** What a request needs from an agent. [prefixHash] identifies the start of the prompt for prefix-cache affinity. */
public data class ChoiceRequest(
    val upstream: UpstreamName,
    val model: ModelName?,
    val tier: Int,
    val prefixHash: Long? = null,
)

/**
 * Picks the agent for the next offer, or null when no eligible agent is left outside [tried]. [random] returns a
 * uniformly distributed integer below its argument.
 */
public fun chooseAgent(
    agents: Collection<AgentView>,
    request: ChoiceRequest,
    home: DataCentre,
    tried: Set<InstanceId>,
    nowMs: Long,
    random: (Int) -> Int,
): InstanceId? {
    val eligible = agents.filter { it.serves(request) && it.instance !in tried }
    if (eligible.isEmpty()) return null
    val first = eligible[random(eligible.size)]
    val second = eligible[random(eligible.size)]
    return if (first.cost(home, nowMs) <= second.cost(home, nowMs)) first.instance else second.instance
}

private fun AgentView.serves(request: ChoiceRequest) =
    upstream == request.upstream && !draining && (request.model == null || request.model in models)

private fun AgentView.cost(
    home: DataCentre,
    nowMs: Long,
): Double {
    val load = (running + queued + sentSinceReport + 1).toDouble() / limit
    val distance = if (dataCentre == home) 0.0 else 0.1
    val avoid = if (nowMs < avoidUntilMs) 100.0 else 0.0
    return load + distance + avoid
}
