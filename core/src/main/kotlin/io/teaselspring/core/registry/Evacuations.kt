/*
 * The data centres that operators have evacuated, as rows of the store say, and how much traffic goes to one that has
 * returned to service: its instances may be cold, and all entries learn of the return within the same second.
 */
package io.teaselspring.core.registry

import io.teaselspring.core.DataCentre
import kotlin.math.pow

/** A change of the state of [dataCentre]. */
public sealed interface EvacuationChange {
    public val dataCentre: DataCentre

    /** [dataCentre] is evacuated from now on. */
    public data class Began(
        override val dataCentre: DataCentre,
    ) : EvacuationChange

    /** [dataCentre] has returned to service after [evacuatedMs]; its traffic rises to the usual within [rampMs]. */
    public data class Ended(
        override val dataCentre: DataCentre,
        val evacuatedMs: Long,
        val rampMs: Long,
    ) : EvacuationChange
}

/**
 * The share of one entry, one of [entries], in the ramp of an instance with [slots]. [phase], uniformly distributed in
 * 0 until 1, differs between entries, so that they do not send their first requests at the same time.
 */
public data class RampShare(
    val slots: Int,
    val entries: Int,
    val phase: Double,
)

/**
 * The evacuated data centres by the keys of their rows, as far as they are known. The ramp after a return takes as long
 * as the evacuation did, at most [maxRampMs]. Times are monotonic milliseconds. Not thread-safe.
 */
public class Evacuations(
    private val maxRampMs: Long = MAX_RAMP_MS,
) {
    private class Ramp(
        val sinceMs: Long,
        val lengthMs: Long,
    ) {
        fun isOver(nowMs: Long) = nowMs - sinceMs >= lengthMs
    }

    private val dataCentreByKey = HashMap<String, DataCentre>()
    private val sinceMs = LinkedHashMap<DataCentre, Long>()
    private val ramps = HashMap<DataCentre, Ramp>()

    /** The data centres that are evacuated now. */
    public val evacuated: Set<DataCentre> get() = sinceMs.keys

    /** Replaces all rows by [rows], a complete read of the table: only the data centres there are evacuated. */
    public fun replaceAll(
        rows: Map<String, DataCentre>,
        nowMs: Long,
    ): List<EvacuationChange> {
        dataCentreByKey.clear()
        dataCentreByKey += rows
        return recordRows(nowMs)
    }

    /** Applies rows that have changed; null for a row that was deleted. */
    public fun apply(
        changes: Map<String, DataCentre?>,
        nowMs: Long,
    ): List<EvacuationChange> {
        changes.forEach { (key, dataCentre) ->
            if (dataCentre == null) dataCentreByKey -= key else dataCentreByKey[key] = dataCentre
        }
        return recordRows(nowMs)
    }

    private fun recordRows(nowMs: Long): List<EvacuationChange> {
        val listed = dataCentreByKey.values.toSet()
        val ended = (sinceMs.keys - listed).map { end(it, nowMs) }
        val began = (listed - sinceMs.keys).map { EvacuationChange.Began(it) }
        began.forEach { sinceMs[it.dataCentre] = nowMs }
        return ended + began
    }

    private fun end(
        dataCentre: DataCentre,
        nowMs: Long,
    ): EvacuationChange {
        val beganMs = checkNotNull(sinceMs.remove(dataCentre))
        // An evacuation that interrupted a ramp may be shorter than what was left of it.
        val interruptedMs = ramps[dataCentre]?.takeUnless { it.isOver(beganMs) }?.lengthMs ?: 0
        val rampMs = minOf(maxRampMs, maxOf(nowMs - beganMs, interruptedMs))
        ramps[dataCentre] = Ramp(nowMs, rampMs)
        return EvacuationChange.Ended(dataCentre, nowMs - beganMs, rampMs)
    }

    /** Whether [dataCentre] has returned to service and its traffic still rises. */
    public fun isReturning(
        dataCentre: DataCentre,
        nowMs: Long,
    ): Boolean = dataCentre !in sinceMs && ramps[dataCentre]?.isOver(nowMs) == false

    /**
     * Whether an instance in [dataCentre] with [ownRequests] of this entry may get one more. In a ramp the requests of
     * all entries together rise from none, and the bound of a single entry from its [share] to all slots: not every
     * entry has as many requests as its share allows.
     */
    public fun admits(
        dataCentre: DataCentre,
        ownRequests: Int,
        share: RampShare,
        nowMs: Long,
    ): Boolean {
        if (dataCentre in sinceMs) return false
        val ramp = ramps[dataCentre] ?: return true
        if (ramp.isOver(nowMs)) {
            ramps -= dataCentre
            return true
        }
        val progress = (nowMs - ramp.sinceMs).toDouble() / ramp.lengthMs
        val entries = maxOf(1, share.entries).toDouble()
        return ownRequests + 1 <= share.slots * progress * entries.pow(progress - 1) + share.phase
    }

    private companion object {
        /** Twice the time that engines of the known deployments are cold after a start. */
        const val MAX_RAMP_MS = 6_000L
    }
}
