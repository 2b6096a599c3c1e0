/*
 * Data residency: the regions that a route or an organisation keeps its requests in, and the data centres there. In
 * place of a set, null means that there is no restriction; an empty set allows nothing.
 */
package io.teaselspring.core.routing

import io.teaselspring.core.DataCentre
import io.teaselspring.core.Region

/** The elements that both sets allow. */
internal fun <T> intersectionOf(
    first: Set<T>?,
    second: Set<T>?,
): Set<T>? =
    when {
        first == null -> second
        second == null -> first
        else -> first intersect second
    }

/** The data centres that are known to be in [regions]. One of an unknown region is in none of them. */
public fun Map<DataCentre, Region>.dataCentresIn(regions: Set<Region>?): Set<DataCentre>? =
    regions?.let { allowed -> filterValues { it in allowed }.keys }

/** Whether this set of data centres allows [dataCentre]; an unknown one, null, only if there is no restriction. */
public fun Set<DataCentre>?.allows(dataCentre: DataCentre?): Boolean = this == null || dataCentre in this
