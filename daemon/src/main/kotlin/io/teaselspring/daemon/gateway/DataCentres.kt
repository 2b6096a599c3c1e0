/*
 * What an entry knows of data centres as a whole: which ones operators have evacuated, and which ones it cannot reach.
 */
package io.teaselspring.daemon.gateway

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.teaselspring.core.DataCentre
import io.teaselspring.core.registry.EvacuationChange
import io.teaselspring.core.registry.Evacuations
import io.teaselspring.core.registry.RampShare
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.registry.UnreachableDataCentres
import org.slf4j.LoggerFactory
import kotlin.random.Random

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** The state of all data centres as one of [entryCount] entries knows it. */
internal class DataCentres(
    private val entryCount: () -> Int = { 1 },
    private val random: Random = Random.Default,
) {
    val evacuations = Evacuations()

    /** Data centres that have been evacuated since this process started. */
    private val known = LinkedHashSet<DataCentre>()

    val evacuated: Set<DataCentre> get() = evacuations.evacuated

    private val unreachableDataCentres = UnreachableDataCentres()

    val unreachable: Set<DataCentre> get() = unreachableDataCentres.all

    /** Called when a data centre becomes unreachable, with the instance that an attempt to connect timed out at. */
    var onUnreachable: (RegisteredInstance) -> Unit = {}

    /** An instance of [dataCentre] was heard from. */
    fun recordContact(
        dataCentre: DataCentre,
        nowMs: Long,
    ) {
        val unreachableMs = unreachableDataCentres.recordContact(dataCentre, nowMs) ?: return
        log.info("event=data_centre_reachable data_centre={} after_ms={}", dataCentre, unreachableMs)
    }

    /** An attempt to connect to [instance], which began at [startedMs], timed out. */
    fun recordTimeout(
        instance: RegisteredInstance,
        startedMs: Long,
    ) {
        if (!unreachableDataCentres.recordTimeout(instance.dataCentre, startedMs)) return
        log.info("event=data_centre_unreachable data_centre={} instance={}", instance.dataCentre, instance.id)
        onUnreachable(instance)
    }

    /** No instance of [dataCentre] is left to be heard from. */
    fun forgetUnreachable(dataCentre: DataCentre) = unreachableDataCentres.forget(dataCentre)

    /** See [RampShare.phase]. */
    fun nextRampPhase(): Double = random.nextDouble()

    /** Whether [instance] may get one more request beside the [ownRequests] of this entry. */
    fun admits(
        instance: RegisteredInstance,
        ownRequests: Int,
        rampPhase: Double,
        nowMs: Long,
    ): Boolean {
        val share = RampShare(instance.slots, entryCount(), rampPhase)
        return evacuations.admits(instance.dataCentre, ownRequests, share, nowMs)
    }

    fun evacuationsChanged(changes: List<EvacuationChange>) =
        changes.forEach {
            known += it.dataCentre
            when (it) {
                is EvacuationChange.Began -> log.info("event=evacuation_began data_centre={}", it.dataCentre)
                is EvacuationChange.Ended ->
                    log.info(
                        "event=evacuation_ended data_centre={} after_ms={} ramp_ms={}",
                        it.dataCentre,
                        it.evacuatedMs,
                        it.rampMs,
                    )
            }
        }

    /** 1 for each data centre that is evacuated, 0 for each one that was. */
    fun evacuationByDataCentre(): Map<DataCentre, Int> = known.associateWith { if (it in evacuated) 1 else 0 }
}

/** Shows the state of [dataCentres]. */
internal fun GatewayMetrics.observe(dataCentres: DataCentres) {
    GaugeWithCallback
        .builder()
        .name("teaselspring_data_centre_evacuated")
        .help("1 while the data centre is evacuated")
        .labelNames("data_centre")
        .callback { gauge ->
            dataCentres.evacuationByDataCentre().forEach { (dataCentre, value) ->
                gauge.call(value.toDouble(), dataCentre.value)
            }
        }.register(registry)
}
