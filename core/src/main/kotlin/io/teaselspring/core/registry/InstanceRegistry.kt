/*
 * Service discovery: the upstream instances that the platform's registry lists. Rows arrive one by one or as a full
 * snapshot; what a row does not contain is not inferred. An instance whose row disappeared during an outage of the
 * registry is kept for a grace period, because the rows of live instances return shortly after the registry does.
 */
package io.teaselspring.core.registry

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName

/**
 * An upstream instance. [startedAtMs] distinguishes restarts under one id; null if unknown. [warmUpLeftMs] is the time
 * for which it stays cold after the row was written, 0 if it is warm; null if it does not say.
 */
public data class RegisteredInstance(
    val id: InstanceId,
    val upstream: UpstreamName,
    val address: String,
    val dataCentre: DataCentre,
    val slots: Int,
    val isDraining: Boolean,
    val startedAtMs: Long?,
    val warmUpLeftMs: Long? = null,
)

/** A change of one instance from [before] to [now]; null where the registry does not list it. */
public data class RegistryChange(
    val id: InstanceId,
    val before: RegisteredInstance?,
    val now: RegisteredInstance?,
)

/** The instances listed by the registry, and those missing from it for less than [graceMs]. Not thread-safe. */
public class InstanceRegistry(
    private val graceMs: Long = GRACE_MS,
) {
    private val instancesById = LinkedHashMap<InstanceId, RegisteredInstance>()
    private val missingSinceMs = HashMap<InstanceId, Long>()

    /** All instances, including missing ones in their grace period. */
    public val instances: Collection<RegisteredInstance> get() = instancesById.values

    /** Applies one row; a null [instance] means that the row was deleted or describes no usable instance. */
    public fun update(
        id: InstanceId,
        instance: RegisteredInstance?,
    ): RegistryChange? {
        missingSinceMs.remove(id)
        val before = if (instance == null) instancesById.remove(id) else instancesById.put(id, instance)
        return if (before == instance) null else RegistryChange(id, before, instance)
    }

    /**
     * Replaces all rows by the snapshot [all] at [nowMs]. After an outage ([afterOutage]) missing instances stay for
     * the grace period; otherwise they are removed at once. After a restore of the registry from an older copy
     * ([afterRestore]) a draining instance stays so, until its own row changes.
     */
    public fun replace(
        all: Map<InstanceId, RegisteredInstance?>,
        afterOutage: Boolean,
        nowMs: Long,
        afterRestore: Boolean = false,
    ): List<RegistryChange> {
        val changes =
            all
                .filterNot { (id, instance) -> afterRestore && instancesById[id].isDrainingBefore(instance) }
                .mapNotNull { (id, instance) -> update(id, instance) }
        val missing = instancesById.keys.filter { it !in all }
        if (!afterOutage) return changes + missing.filter { it !in missingSinceMs }.mapNotNull { update(it, null) }
        missing.forEach { missingSinceMs.putIfAbsent(it, nowMs) }
        return changes
    }

    private fun RegisteredInstance?.isDrainingBefore(row: RegisteredInstance?) =
        this != null && isDraining && row != null && !row.isDraining && row.startedAtMs == startedAtMs

    /** Removes the instances whose grace period has ended at [nowMs]. */
    public fun expire(nowMs: Long): List<RegistryChange> =
        missingSinceMs
            .filterValues { nowMs - it >= graceMs }
            .keys
            .toList()
            .mapNotNull { update(it, null) }

    private companion object {
        /** Rows of live instances return within about two seconds after the registry does. */
        const val GRACE_MS = 2_000L
    }
}
