/*
 * Service discovery: the upstream instances that the platform's registry lists. Rows arrive one by one or as a full
 * snapshot. An instance whose row disappeared during an outage of the registry is kept for a grace period, because the
 * rows of live instances return shortly after the registry does.
 *
 * The registry may perform a write seconds after its writer has given it up, and so bring back a row that a newer one
 * had replaced or that was deleted. Such a row is older than the newest one known of its instance, by the start of the
 * process or by the sequence of its rows; see [isOlderThan]. It is not applied, unless it stays for so long that a live
 * instance would have replaced it.
 *
 * The last row of an instance that left may also be performed for the first time after its deletion. An instance that
 * left writes no further row, so one whose row was deleted within [InstanceRegistry.rowTimeoutMs] of its last one is
 * listed again only with the second row of the same process, or with a row that lasts. One that was silent for longer
 * may have been cut off from the registry, and is listed again with its first row.
 */
package io.teaselspring.core.registry

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName

/**
 * An upstream instance. [startedAtMs] distinguishes restarts under one id; null if unknown. [warmUpLeftMs] is the time
 * for which it stays cold after the row was written, 0 if it is warm; null if it does not say. [sequence] rises with
 * each row that the process writes; null if unknown. [version] is that of its software, empty if the row does not say.
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
    val sequence: Long? = null,
    val version: String = "",
)

/** A change of one instance from [before] to [now]; null where the registry does not list it. */
public data class RegistryChange(
    val id: InstanceId,
    val before: RegisteredInstance?,
    val now: RegisteredInstance?,
)

/**
 * The instances listed by the registry, and those missing from it for less than [graceMs]. [onLateRow] gets each row
 * that is older than the known one, or that comes back after the instance left, when it is first seen. The registry
 * deletes the row of an instance that has been silent for [rowTimeoutMs]. Times are monotonic milliseconds. Not
 * thread-safe.
 */
public class InstanceRegistry(
    private val graceMs: Long = GRACE_MS,
    private val lateRowMs: Long = LATE_ROW_MS,
    private val rowTimeoutMs: Long = ROW_TIMEOUT_MS,
    private val onLateRow: (row: RegisteredInstance, known: RegisteredInstance) -> Unit = { _, _ -> },
) {
    private val instancesById = LinkedHashMap<InstanceId, RegisteredInstance>()
    private val missingSinceMs = HashMap<InstanceId, Long>()

    /** When the current row of each listed instance was first read. */
    private val reportedAtMs = HashMap<InstanceId, Long>()

    /** The last rows of removed instances, against which a late row is recognised. */
    private val removedById = HashMap<InstanceId, RemovedRow>()

    /** Rows that were not applied when they were first seen, and are still in the registry. */
    private val lateById = HashMap<InstanceId, DatedRow>()

    /** All instances, including missing ones in their grace period. */
    public val instances: Collection<RegisteredInstance> get() = instancesById.values

    /**
     * Applies one row, read at [nowMs]; a null [instance] means that the row was deleted or describes no usable
     * instance. Returns null if nothing but the sequence has changed, or if the row may be a late one.
     */
    public fun update(
        id: InstanceId,
        instance: RegisteredInstance?,
        nowMs: Long,
    ): RegistryChange? {
        if (instance == null) return remove(id, nowMs)
        val known = newestKnown(id)
        if (known != null && (instance.isOlderThan(known) || !isBack(instance))) {
            val seen = lateById[id]?.takeIf { it.row.startedAtMs == instance.startedAtMs }
            if (seen == null) onLateRow(instance, known)
            lateById[id] = DatedRow(instance, seen?.sinceMs ?: nowMs)
            return null
        }
        return apply(id, instance.copy(startedAtMs = instance.startedAtMs ?: known?.startedAtMs), nowMs)
    }

    /**
     * Replaces all rows by the snapshot [all], read at [nowMs]. After an outage ([afterOutage]) missing instances stay
     * for the grace period; otherwise they are removed at once.
     */
    public fun replace(
        all: Map<InstanceId, RegisteredInstance?>,
        afterOutage: Boolean,
        nowMs: Long,
    ): List<RegistryChange> {
        // While the registry could not be read, a late row may have come and gone.
        if (afterOutage) lateById.clear()
        val changes = all.mapNotNull { (id, instance) -> update(id, instance, nowMs) }
        lateById.keys.retainAll(all.keys)
        val missing = instancesById.keys.filter { it !in all }
        if (!afterOutage) {
            return changes + missing.filter { it !in missingSinceMs }.mapNotNull { remove(it, nowMs) }
        }
        missing.forEach { missingSinceMs.putIfAbsent(it, nowMs) }
        return changes
    }

    /**
     * Applies the rows that counted as late and are still there at [nowMs], when the registry was read, after so long
     * that they must be the newest: the clock of an instance may be set back between two starts.
     */
    public fun applyLastingRows(nowMs: Long): List<RegistryChange> =
        lateById
            .filterValues { nowMs - it.sinceMs >= lateRowMs }
            .mapNotNull { (id, late) ->
                val known = newestKnown(id)
                val drains = known != null && known.isDraining && late.row.isSameProcessAs(known)
                apply(id, late.row.copy(isDraining = late.row.isDraining || drains), nowMs)
            }

    /** Removes the instances whose grace period has ended at [nowMs]. */
    public fun expire(nowMs: Long): List<RegistryChange> {
        removedById.values.removeIf { nowMs - it.sinceMs >= REMEMBERED_MS }
        return missingSinceMs
            .filterValues { nowMs - it >= graceMs }
            .keys
            .toList()
            .mapNotNull { remove(it, nowMs) }
    }

    private fun newestKnown(id: InstanceId) = instancesById[id] ?: removedById[id]?.row

    /** Whether [row], not older than the known one, is of an instance that has not left or is reporting again. */
    private fun isBack(row: RegisteredInstance): Boolean {
        val left = removedById[row.id]?.takeIf { it.hasLeft }?.row
        if (left == null || row.isDraining || row.isOfLaterProcessThan(left)) return true
        val first = lateById[row.id]?.row?.takeUnless { it.isOlderThan(left) }
        return first?.isOlderThan(row) == true
    }

    private fun apply(
        id: InstanceId,
        instance: RegisteredInstance,
        nowMs: Long,
    ): RegistryChange? {
        missingSinceMs.remove(id)
        lateById.remove(id)
        removedById.remove(id)
        val before = instancesById.put(id, instance)
        if (before != instance) reportedAtMs[id] = nowMs
        val isUnchanged = before?.copy(sequence = instance.sequence) == instance
        return if (isUnchanged) null else RegistryChange(id, before, instance)
    }

    private fun remove(
        id: InstanceId,
        nowMs: Long,
    ): RegistryChange? {
        missingSinceMs.remove(id)
        lateById.remove(id)
        val before = instancesById.remove(id) ?: return null
        val hasLeft = nowMs - (reportedAtMs.remove(id) ?: nowMs) < rowTimeoutMs
        removedById[id] = RemovedRow(before, nowMs, hasLeft)
        return RegistryChange(id, before, null)
    }

    private class DatedRow(
        val row: RegisteredInstance,
        val sinceMs: Long,
    )

    private class RemovedRow(
        val row: RegisteredInstance,
        val sinceMs: Long,
        val hasLeft: Boolean,
    )

    private companion object {
        /** Rows of live instances return within about two seconds after the registry does. */
        const val GRACE_MS = 2_000L

        /** Longer than a live instance takes to write its next row, and than the row of one that is silent stays. */
        const val LATE_ROW_MS = 10_000L

        /** Three report intervals. */
        const val ROW_TIMEOUT_MS = 3_600L

        /** Longer than a write can be late. */
        const val REMEMBERED_MS = 60_000L
    }
}

/**
 * Whether this row was written before [known]: by an earlier process, or earlier by the same one. A row without the
 * start of its process says nothing of processes and counts as one of the known process. A process that drains does not
 * become ready again, whatever its sequence says.
 */
private fun RegisteredInstance.isOlderThan(known: RegisteredInstance): Boolean {
    if (isOfLaterProcessThan(known)) return false
    if (known.isOfLaterProcessThan(this)) return true
    val number = sequence
    val knownNumber = known.sequence
    return (number != null && knownNumber != null && number < knownNumber) || (known.isDraining && !isDraining)
}

private fun RegisteredInstance.isSameProcessAs(other: RegisteredInstance) =
    startedAtMs != null && startedAtMs == other.startedAtMs

private fun RegisteredInstance.isOfLaterProcessThan(other: RegisteredInstance): Boolean {
    val startedMs = startedAtMs ?: return false
    val otherStartedMs = other.startedAtMs ?: return false
    return startedMs > otherStartedMs
}
