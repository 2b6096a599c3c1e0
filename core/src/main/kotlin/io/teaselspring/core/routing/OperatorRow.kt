/*
 * Rows of the operators' table. Several kinds share one table, so that entries learn of them by the same read.
 */
package io.teaselspring.core.routing

import io.teaselspring.core.DataCentre

/** A row that operators write: a [RoutingConfig], which may be unreadable, or an [EvacuationOrder]. */
public sealed interface OperatorRow

/** The row holds a configuration that cannot be decoded, so that it is not known what the newest one allows. */
public data object UnreadableConfig : OperatorRow

/** [dataCentre] is evacuated as long as the row exists. */
public data class EvacuationOrder(
    val dataCentre: DataCentre,
) : OperatorRow
