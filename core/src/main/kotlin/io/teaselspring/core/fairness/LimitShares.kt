/*
 * Division of an organisation's limits between entries. Each entry gets a small equal part and divides the rest by
 * the demand that the entries reported for the same period, so all entries compute the same shares and they add up
 * to one.
 */
package io.teaselspring.core.fairness

import io.teaselspring.core.InstanceId
import io.teaselspring.core.OrganisationId
import kotlinx.serialization.Serializable

/** Limits of one organisation over all entries; null means no limit. */
public data class OrganisationLimit(
    val requestsPerSecond: Double?,
    val maxConcurrent: Int?,
)

/** Requests that arrived at [entry] in period number [period], by organisation; only organisations with limits. */
@Serializable
public data class DemandReport(
    val entry: InstanceId,
    val period: Long,
    val requests: Map<OrganisationId, Int>,
)

/**
 * The part of the limits that each of [entries] has by [demand], in order of the entries; the parts add up to 1.
 * [EQUAL_PART] of the limit is divided equally, so that an entry whose demand begins can admit something at once.
 */
public fun limitShares(
    entries: List<InstanceId>,
    demand: (InstanceId) -> Int,
): List<Double> {
    val total = entries.sumOf { demand(it) }
    val equal = 1.0 / entries.size
    return if (total == 0) {
        entries.map { equal }
    } else {
        entries.map { EQUAL_PART * equal + (1 - EQUAL_PART) * demand(it) / total }
    }
}

/** The whole number of [count] slots that entry number [index] has; the numbers of all entries add up to [count]. */
public fun wholeSlots(
    shares: List<Double>,
    index: Int,
    count: Int,
): Int {
    val before = shares.take(index).sum()
    return upTo(before + shares[index], count) - upTo(before, count)
}

private fun upTo(
    share: Double,
    count: Int,
) = (share * count + ROUNDING).toInt()

private const val EQUAL_PART = 0.2

/** Larger than the error of adding some hundred shares, smaller than any difference between shares that matters. */
private const val ROUNDING = 1e-6
