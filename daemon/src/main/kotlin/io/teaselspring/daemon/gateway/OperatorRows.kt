/*
 * Passes the rows of the operators' table on: evacuations first, so that no request is placed by a configuration that
 * is newer than the evacuations known.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.routing.EvacuationOrder
import io.teaselspring.core.routing.OperatorRow
import io.teaselspring.core.routing.RoutingConfig

/** Applies rows to [config] and [dataCentres]; calls [onOutageEnded] after a time without knowledge of the table. */
internal class OperatorRows(
    private val config: ConfigState,
    private val dataCentres: DataCentres,
    private val nowMs: () -> Long,
    private val onOutageEnded: () -> Unit,
) : TableListener<OperatorRow> {
    /** All rows, also after a restore of the store: a row that this read lacks is known to be absent. */
    override fun onSnapshot(
        rows: Map<String, OperatorRow?>,
        askedAt: ClockReading,
        gap: TableGap,
    ) {
        dataCentres.evacuationsChanged(
            dataCentres.evacuations.replaceAll(rows.dataCentres().filterNotNullValues(), nowMs()),
        )
        config.recordConfirmation(askedAt, newestConfig(rows), isComplete = true)
        if (gap != TableGap.NONE) onOutageEnded()
    }

    override fun onChanges(
        changes: Map<String, OperatorRow?>,
        askedAt: ClockReading,
    ) {
        dataCentres.evacuationsChanged(dataCentres.evacuations.apply(changes.dataCentres(), nowMs()))
        config.recordConfirmation(askedAt, newestConfig(changes), isComplete = false)
    }

    private fun newestConfig(rows: Map<String, OperatorRow?>) =
        rows.values.filterIsInstance<RoutingConfig>().maxByOrNull { it.version }

    private fun Map<String, OperatorRow?>.dataCentres() = mapValues { (it.value as? EvacuationOrder)?.dataCentre }

    private fun <V : Any> Map<String, V?>.filterNotNullValues(): Map<String, V> =
        mapNotNull { (key, value) -> value?.let { key to it } }.toMap()
}
