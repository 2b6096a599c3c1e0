/*
 * Withdrawn keys that a process knows of and that the change log does not show yet. They count at once, and stay here
 * until the log has them, so that any process that knows one can bring it into the log.
 */
package io.teaselspring.core.keys

import io.teaselspring.core.KeyId
import io.teaselspring.core.config.ConfigState

/** The set of pending withdrawals. Not thread-safe. */
public class Withdrawals {
    private val pendingIds = linkedSetOf<KeyId>()

    /** Withdrawals that the log does not have. */
    public val pending: Set<KeyId> get() = pendingIds.toSet()

    /** Number of pending withdrawals. */
    public val count: Int get() = pendingIds.size

    /** Equal for equal sets, whatever the order in which they became known. */
    public val digest: Long get() = pendingIds.fold(0L) { sum, id -> sum xor spread(id) }

    /** Adds those of [ids] that [state] does not show as withdrawn, and returns the ones that were not known. */
    public fun add(
        ids: Collection<KeyId>,
        state: ConfigState,
    ): Set<KeyId> = ids.filter { !state.isWithdrawn(it) && pendingIds.add(it) }.toSet()

    /** Forgets those that [state] shows as withdrawn. */
    public fun settle(state: ConfigState) {
        pendingIds.removeAll { state.isWithdrawn(it) }
    }

    /** Forgets [ids], which the log has no key for. */
    public fun forget(ids: Collection<KeyId>) {
        pendingIds.removeAll(ids.toSet())
    }

    private fun spread(id: KeyId): Long =
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
