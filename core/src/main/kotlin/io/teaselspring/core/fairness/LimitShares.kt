/*
 * Divides the limits of an organisation among the entries, for distributed rate limiting. A small fraction is divided
 * equally and the rest in proportion to the demand of each entry. All entries use the demand reports of the same
 * period, so they compute the same shares, which add up to one.
 */
package io.teaselspring.core.fairness

import io.teaselspring.core.InstanceId
import io.teaselspring.core.OrganisationId
import kotlinx.serialization.Serializable

/** Limits of one organisation, summed over all entries; null means no limit. */
public data class OrganisationLimit(
    val requestsPerSecond: Double?,
    val maxConcurrent: Int?,
)

/** Number of requests that arrived at [entry] in [period], by organisation; only organisations with limits. */
@Serializable
public data class DemandReport(
    val entry: InstanceId,
    val period: Long,
    val requests: Map<OrganisationId, Int>,
)

/**
 * Returns the share of each of [entries] in the limits, in their order; the shares add up to 1. [EQUAL_FRACTION] of the
 * limits is divided equally, so that an entry without previous demand can admit requests at once. The rest is divided
 * in proportion to [demand].
 */
public fun limitShares(
    entries: List<InstanceId>,
    demand: (InstanceId) -> Int,
): List<Double> {
    val total = entries.sumOf { demand(it) }
    val equalShare = 1.0 / entries.size
    return if (total == 0) {
        entries.map { equalShare }
    } else {
        entries.map { EQUAL_FRACTION * equalShare + (1 - EQUAL_FRACTION) * demand(it) / total }
    }
}

/**
 * Returns how many of [count] slots the entry at [index] of [shares] has. It is a whole number, and the numbers of all
 * entries add up to [count].
 */
public fun wholeSlots(
    shares: List<Double>,
    index: Int,
    count: Int,
): Int {
    val before = shares.take(index).sum()
    return cumulativeSlots(before + shares[index], count) - cumulativeSlots(before, count)
}

private fun cumulativeSlots(
    cumulativeShare: Double,
    count: Int,
) = (cumulativeShare * count + ROUNDING_TOLERANCE).toInt()

private const val EQUAL_FRACTION = 0.2

/**
 * Larger than the floating-point error of adding some hundred shares, smaller than any relevant difference of shares.
 */
private const val ROUNDING_TOLERANCE = 1e-6
