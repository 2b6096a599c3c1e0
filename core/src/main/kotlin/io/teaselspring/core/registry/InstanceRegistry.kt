/*
 * The upstream instances as the platform's registry shows them. Rows come one by one or as a whole; what a row does
 * not show is not guessed. An instance whose row vanished while the registry was away is kept for a grace period,
 * because the rows of live instances come back shortly after the registry does.
 */
package io.teaselspring.core.registry

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName

/** An upstream instance. [startedAtMs] tells a restart under the same id apart, null if it is not known. */
public data class RegisteredInstance(
    val id: InstanceId,
    val upstream: UpstreamName,
    val address: String,
    val dataCentre: DataCentre,
    val slots: Int,
    val isDraining: Boolean,
    val startedAtMs: Long?,
)

/** A change of the registry: the instance as it is now, or null if it is gone. */
public data class RegistryChange(
    val id: InstanceId,
    val before: RegisteredInstance?,
    val now: RegisteredInstance?,
)

/** The known instances. Not thread-safe. */
public class InstanceRegistry(
    private val graceMs: Long = GRACE_MS,
) {
    private val known = LinkedHashMap<InstanceId, RegisteredInstance>()
    private val missingSince = HashMap<InstanceId, Long>()

    /** All known instances. */
    public val instances: Collection<RegisteredInstance> get() = known.values

    /** Applies one row; a null [instance] means that the row is gone or names no usable instance. */
    public fun update(
        id: InstanceId,
        instance: RegisteredInstance?,
    ): RegistryChange? {
        missingSince.remove(id)
        val before = if (instance == null) known.remove(id) else known.put(id, instance)
        return if (before == instance) null else RegistryChange(id, before, instance)
    }

    /**
     * Replaces everything by [all] at [nowMs]. After an outage ([afterOutage]) instances that are missing stay for the
     * grace period; otherwise they are gone at once.
     */
    public fun replace(
        all: Map<InstanceId, RegisteredInstance?>,
        afterOutage: Boolean,
        nowMs: Long,
    ): List<RegistryChange> {
        val changes = all.mapNotNull { (id, instance) -> update(id, instance) }
        val missing = known.keys.filter { it !in all }
        if (!afterOutage) return changes + missing.filter { it !in missingSince }.mapNotNull { update(it, null) }
        missing.forEach { missingSince.putIfAbsent(it, nowMs) }
        return changes
    }

    /** Drops the instances whose grace period has ended at [nowMs]. */
    public fun expire(nowMs: Long): List<RegistryChange> =
        missingSince
            .filterValues { nowMs - it >= graceMs }
            .keys
            .toList()
            .mapNotNull { update(it, null) }

    private companion object {
        /** Rows of live instances are back within about two seconds of the registry's return. */
        const val GRACE_MS = 2_000L
    }
}
