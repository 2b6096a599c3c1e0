/*
 * The data centres that this entry cannot reach, as far as it can tell from attempts to connect that time out. One
 * such attempt counts against all instances of the data centre if nothing has been heard from any of them since it
 * began. A data centre counts as reachable again as soon as one of its instances is heard from.
 */
package io.teaselspring.core.registry

import io.teaselspring.core.DataCentre

/** Times are monotonic milliseconds. Not thread-safe. */
public class UnreachableDataCentres {
    private val heardAtMs = HashMap<DataCentre, Long>()
    private val sinceMs = LinkedHashMap<DataCentre, Long>()

    /** The data centres that cannot be reached now. */
    public val all: Set<DataCentre> get() = sinceMs.keys

    /** Records that an instance of [dataCentre] was heard from; returns for how long it was unreachable, or null. */
    public fun recordContact(
        dataCentre: DataCentre,
        nowMs: Long,
    ): Long? {
        heardAtMs[dataCentre] = nowMs
        return sinceMs.remove(dataCentre)?.let { nowMs - it }
    }

    /**
     * Records that an attempt to connect to an instance of [dataCentre], which began at [startedMs], timed out; returns
     * whether the data centre counts as unreachable from now on and did not before.
     */
    public fun recordTimeout(
        dataCentre: DataCentre,
        startedMs: Long,
    ): Boolean {
        val isHeardSince = heardAtMs[dataCentre].let { it != null && it >= startedMs }
        if (isHeardSince || dataCentre in sinceMs) return false
        sinceMs[dataCentre] = startedMs
        return true
    }

    /** Forgets that [dataCentre] is unreachable, for instance because no instance is left there to be heard from. */
    public fun forget(dataCentre: DataCentre) {
        sinceMs -= dataCentre
    }
}
