/*
 * The agents that one entry connects to. Every entry connecting to every agent would exceed the budget for control
 * traffic, so each takes a subset by rendezvous hashing, which changes little when agents come and go.
 */
package io.teaselspring.core.choice

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import kotlin.math.ceil

/**
 * The agents that [entry] connects to: for each upstream and model at least [minimum] agents, those of
 * [localDataCentre] first. With few entries the subset is larger, so that each agent has about [ENTRIES_PER_AGENT] of
 * [entryCount] entries.
 */
public fun agentSubset(
    agents: Collection<AgentView>,
    entry: InstanceId,
    localDataCentre: DataCentre,
    entryCount: Int,
    minimum: Int = 6,
): Set<InstanceId> {
    val key = rendezvous(0, entry.value)
    val groups = agents.flatMap { agent -> agent.groups().map { it to agent } }.groupBy({ it.first }, { it.second })
    return groups.values.flatMapTo(HashSet()) { group ->
        val covering = ceil(ENTRIES_PER_AGENT.toDouble() * group.size / maxOf(1, entryCount)).toInt()
        group
            .sortedWith(
                compareBy({ it.dataCentre != localDataCentre }, { -(rendezvous(key, it.instance.value) ushr 1) }),
            ).take(maxOf(minimum, covering))
            .map { it.instance }
    }
}

private fun AgentView.groups() = if (models.isEmpty()) listOf(upstream to null) else models.map { upstream to it }

/** Fewer entries per agent leave some agents with none, because hashing spreads entries unevenly. */
private const val ENTRIES_PER_AGENT = 8
