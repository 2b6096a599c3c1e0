/*
 * Subsetting: selects the agents that one entry connects to. If every entry connected to every agent, control traffic
 * would exceed its budget. Each entry selects its subset by rendezvous hashing, so that adding or removing an agent
 * changes few connections.
 */
package io.teaselspring.core.choice

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import kotlin.math.ceil

/**
 * Returns the agents that [entry] connects to: for each upstream and model at least [minimum] agents if there are as
 * many, those in [localDataCentre] first. With a small [entryCount] the subset is larger, so that about
 * [ENTRIES_PER_AGENT] entries connect to each agent.
 */
public fun agentSubset(
    agents: Collection<AgentView>,
    entry: InstanceId,
    localDataCentre: DataCentre,
    entryCount: Int,
    minimum: Int = 6,
): Set<InstanceId> {
    val key = rendezvousWeight(0, entry.value)
    val agentsByModel =
        agents.flatMap { agent -> agent.servedModels().map { it to agent } }.groupBy({ it.first }, { it.second })
    return agentsByModel.values.flatMapTo(HashSet()) { group ->
        val coveringCount = ceil(ENTRIES_PER_AGENT.toDouble() * group.size / maxOf(1, entryCount)).toInt()
        group
            // The shift makes the weight non-negative, so that its negation sorts in descending order.
            .sortedWith(
                compareBy({ it.dataCentre != localDataCentre }, { -(rendezvousWeight(key, it.instance.value) ushr 1) }),
            ).take(maxOf(minimum, coveringCount))
            .map { it.instance }
    }
}

private fun AgentView.servedModels() = if (models.isEmpty()) listOf(upstream to null) else models.map { upstream to it }

/** Hashing spreads entries unevenly over agents: with fewer entries per agent, some agents would have none. */
private const val ENTRIES_PER_AGENT = 8
