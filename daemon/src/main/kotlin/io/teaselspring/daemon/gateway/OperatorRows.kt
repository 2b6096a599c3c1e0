/*
 * Passes the rows of the operators' table on: evacuations first, so that no request is placed by a configuration that
 * is newer than the evacuations known. A configuration that cannot be read, or is deleted, may take away what the one
 * in force allows, so it is passed on as well and confirms nothing.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.routing.EvacuationOrder
import io.teaselspring.core.routing.OperatorRow
import io.teaselspring.core.routing.RoutingConfig
import io.teaselspring.core.routing.UnreadableConfig

/** Applies rows to [config] and [dataCentres]; calls [onOutageEnded] after a time without knowledge of the table. */
internal class OperatorRows(
    private val config: ConfigState,
    private val dataCentres: DataCentres,
    private val nowMs: () -> Long,
    private val onOutageEnded: () -> Unit,
) : TableListener<OperatorRow> {
    /** Keys of the rows that hold a configuration, readable or not. */
    private val configKeys = HashSet<String>()

    /** All rows, also after a restore of the store: a row that this read lacks is known to be absent. */
    override fun onSnapshot(
        rows: Map<String, OperatorRow?>,
        askedAt: ClockReading,
        gap: TableGap,
    ) {
        dataCentres.evacuationsChanged(
            dataCentres.evacuations.replaceAll(rows.dataCentres().filterNotNullValues(), nowMs()),
        )
        configKeys.clear()
        configKeys += rows.configKeys()
        config.recordConfirmation(askedAt, newestConfig(rows), isComplete = true)
        if (gap != TableGap.NONE) onOutageEnded()
    }

    override fun onChanges(
        changes: Map<String, OperatorRow?>,
        askedAt: ClockReading,
    ) {
        dataCentres.evacuationsChanged(dataCentres.evacuations.apply(changes.dataCentres(), nowMs()))
        val newest = newestConfig(changes)
        val isUnreadable =
            newest == null &&
                changes.any { (key, row) -> row == UnreadableConfig || (row == null && key in configKeys) }
        configKeys += changes.configKeys()
        if (isUnreadable) config.recordUnreadable() else config.recordConfirmation(askedAt, newest, isComplete = false)
    }

    private fun Map<String, OperatorRow?>.configKeys() =
        filterValues { it is RoutingConfig || it == UnreadableConfig }.keys

    private fun newestConfig(rows: Map<String, OperatorRow?>) =
        rows.values.filterIsInstance<RoutingConfig>().maxByOrNull { it.version }

    private fun Map<String, OperatorRow?>.dataCentres() = mapValues { (it.value as? EvacuationOrder)?.dataCentre }

    private fun <V : Any> Map<String, V?>.filterNotNullValues(): Map<String, V> =
        mapNotNull { (key, value) -> value?.let { key to it } }.toMap()
}
