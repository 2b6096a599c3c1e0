/*
 * Key revocation ahead of the change log: withdrawn keys that a process has learned of and that the log does not
 * contain yet. They take effect at once and stay here until the log contains them, so that any process that holds one
 * can write it to the log.
 */
package io.teaselspring.core.keys

import io.teaselspring.core.KeyId
import io.teaselspring.core.config.ConfigState

/** The set of pending withdrawals. Not thread-safe. */
public class PendingWithdrawals {
    private val pendingIds = linkedSetOf<KeyId>()

    /** Withdrawals that the log does not contain. */
    public val pending: Set<KeyId> get() = pendingIds.toSet()

    /** Number of pending withdrawals. */
    public val count: Int get() = pendingIds.size

    /** Digest of the set; does not depend on the order in which the ids were added. */
    public val digest: Long get() = pendingIds.fold(0L) { sum, id -> sum xor fnv1a(id) }

    /** Adds those of [ids] that are not withdrawn in [state], and returns the ones that were not pending before. */
    public fun add(
        ids: Collection<KeyId>,
        state: ConfigState,
    ): Set<KeyId> = ids.filter { !state.isWithdrawn(it) && pendingIds.add(it) }.toSet()

    /** Removes the ids that are withdrawn in [state]. */
    public fun removeRecorded(state: ConfigState) {
        pendingIds.removeAll { state.isWithdrawn(it) }
    }

    /** Removes [ids], for which the log contains no key. */
    public fun removeUnknown(ids: Collection<KeyId>) {
        pendingIds.removeAll(ids.toSet())
    }

    private fun fnv1a(id: KeyId): Long =
        id.value.fold(FNV_OFFSET) { hash, char ->
            (hash xor char.code.toLong()) *
                FNV_PRIME
        }

    private companion object {
        // 64-bit FNV-1a.
        const val FNV_OFFSET = -3750763034362895579L
        const val FNV_PRIME = 1099511628211L
    }
}

private fun ConfigState.isWithdrawn(id: KeyId): Boolean = keys[id]?.withdrawnAtMs != null
