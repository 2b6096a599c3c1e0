/*
 * Demand on the instances of an upstream by latency group: what one entry, or all of them, saw in one usage window.
 */
package io.teaselspring.core.capacity

import io.teaselspring.core.UpstreamName
import io.teaselspring.core.decode.decodeOrNull
import io.teaselspring.core.placement.LatencyGroup
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement

/**
 * Sums of one group: requests that [arrived], requests that were [sent] to an instance, estimated tokens of their
 * prompts that had to be prefilled, and tokens of the responses.
 */
@Serializable
public data class GroupDemand(
    val arrived: Long = 0,
    val sent: Long = 0,
    @SerialName("prompt_tokens") val promptTokens: Long = 0,
    @SerialName("output_tokens") val outputTokens: Long = 0,
) {
    public operator fun plus(other: GroupDemand): GroupDemand =
        GroupDemand(
            arrived + other.arrived,
            sent + other.sent,
            promptTokens + other.promptTokens,
            outputTokens + other.outputTokens,
        )
}

/** Sums by upstream, of its groups from group 0 on. */
public typealias DemandByUpstream = Map<UpstreamName, List<GroupDemand>>

/** The sums of several [parts], such as those of all entries. */
public fun sumOfDemand(parts: Iterable<DemandByUpstream>): DemandByUpstream {
    val sums = HashMap<UpstreamName, List<GroupDemand>>()
    parts.forEach { part ->
        part.forEach { (upstream, groups) -> sums.merge(upstream, groups) { one, other -> sumOfGroups(one, other) } }
    }
    return sums
}

/** Entries may know different numbers of groups while a change of the configuration spreads. */
private fun sumOfGroups(
    one: List<GroupDemand>,
    other: List<GroupDemand>,
) = List(maxOf(one.size, other.size)) {
    (one.getOrNull(it) ?: GroupDemand()) + (other.getOrNull(it) ?: GroupDemand())
}

/** Counts the demand of one window. Not thread-safe. */
public class DemandCounter {
    private val byUpstream = HashMap<UpstreamName, Array<GroupDemand>>()

    /** The sums so far. */
    public val sums: DemandByUpstream get() = byUpstream.mapValues { it.value.toList() }

    /** Adds [demand] to the sums of [group]. */
    public fun record(
        upstream: UpstreamName,
        group: LatencyGroup,
        demand: GroupDemand,
    ) {
        val known = byUpstream[upstream]?.takeIf { it.size == group.count }
        // The number of groups changes with the configuration, and sums of other groups would mislead.
        val groups = known ?: Array(group.count) { GroupDemand() }.also { byUpstream[upstream] = it }
        groups[group.index] += demand
    }
}

/** [demand] as a field of a usage row, or null if there is none. */
public fun encodeDemand(demand: DemandByUpstream): JsonElement? =
    if (demand.isEmpty()) null else demandJson.encodeToJsonElement(demand)

/** The sums in the field [element] of a usage row, or null if it is unreadable. */
public fun decodeDemand(element: JsonElement): DemandByUpstream? =
    decodeOrNull { demandJson.decodeFromJsonElement<DemandByUpstream>(element) }

private val demandJson = Json { ignoreUnknownKeys = true }
