/*
 * Usage metering as it is stored. Each agent has one row per window with absolute counts; each entry has one per window
 * for records that no agent stored. The coverage in an agent's row lists the records that are in some row, so that each
 * record is counted exactly once.
 */
package io.teaselspring.core.usage

import io.teaselspring.core.ClassName
import io.teaselspring.core.Incarnation
import io.teaselspring.core.OrganisationId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** The usage of one attempt. [sequence] counts the records of one agent for one entry, from 1. */
@Serializable
public data class UsageItem(
    val sequence: Long,
    val organisation: OrganisationId?,
    @SerialName("class") val serviceClass: ClassName,
    @SerialName("prompt_tokens") val promptTokens: Long,
    @SerialName("completion_tokens") val completionTokens: Long,
    @SerialName("finished_at_ms") val finishedAtMs: Long,
)

/**
 * The usage of one organisation in one class. [late] usage finished in an earlier window that was closed before the
 * usage was stored.
 */
@Serializable
public data class UsageCount(
    val organisation: OrganisationId?,
    @SerialName("class") val serviceClass: ClassName,
    val late: Boolean = false,
    val requests: Long = 0,
    @SerialName("prompt_tokens") val promptTokens: Long = 0,
    @SerialName("completion_tokens") val completionTokens: Long = 0,
)

/** The sequences of one entry's records that are stored: all up to [upTo], and those in [beyond]. */
@Serializable
public data class Coverage(
    @SerialName("up_to") val upTo: Long = 0,
    val beyond: Set<Long> = emptySet(),
) {
    /** Whether the record [sequence] is stored. */
    public operator fun contains(sequence: Long): Boolean = sequence <= upTo || sequence in beyond

    /** This coverage with [sequences] added. */
    public fun with(sequences: Collection<Long>): Coverage {
        val rest = (beyond + sequences).filter { it > upTo }.toSortedSet()
        var end = upTo
        while (rest.remove(end + 1)) end += 1
        return Coverage(end, rest)
    }
}

/** The row of an agent's incarnation in one window. By [flushId] a writer whose response was lost knows its own row. */
@Serializable
public data class AgentUsageRow(
    @SerialName("flush_id") val flushId: String,
    val coverage: Map<Incarnation, Coverage> = emptyMap(),
    val counts: List<UsageCount> = emptyList(),
)

/**
 * The row of an entry's incarnation in one window: records of agents that ended before they stored them, or the
 * requests that an entry without agents passed on. With [isFinal] the entry adds nothing more to the window, with
 * [isLeaving] it will have no row in later windows. The row was written at [storedAtMs], in Unix time, when all that
 * the entry knows of reported windows was stored in the [generation] of the store. [groups] is the demand by latency
 * group, which is decoded apart because usage must be reported also where it is unreadable.
 */
@Serializable
public data class EntryUsageRow(
    @SerialName("flush_id") val flushId: String,
    val counts: List<UsageCount> = emptyList(),
    @SerialName("final") val isFinal: Boolean = false,
    @SerialName("leaving") val isLeaving: Boolean = false,
    @SerialName("stored_at_ms") val storedAtMs: Long? = null,
    val generation: Long? = null,
    val groups: JsonElement? = null,
)

/** The figures of a closed window, fixed before they are reported, under the lease's [epoch]. */
@Serializable
public data class FrozenWindow(
    val epoch: Long,
    @SerialName("frozen_at_ms") val frozenAtMs: Long,
    val figures: List<UsageCount>,
)

/** The sum of [counts], one per organisation, class and lateness, sorted by these. */
public fun mergedCounts(counts: Iterable<UsageCount>): List<UsageCount> =
    counts
        .groupBy { Triple(it.organisation, it.serviceClass, it.late) }
        .values
        .map { same ->
            same.first().copy(
                requests = same.sumOf { it.requests },
                promptTokens = same.sumOf { it.promptTokens },
                completionTokens = same.sumOf { it.completionTokens },
            )
        }.sortedWith(compareBy({ it.organisation?.value.orEmpty() }, { it.serviceClass.value }, { it.late }))

/** This record as a count of one request. */
public fun UsageItem.asCount(late: Boolean): UsageCount =
    UsageCount(organisation, serviceClass, late, 1, promptTokens, completionTokens)
