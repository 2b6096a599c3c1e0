/*
 * Admission checks that do not depend on load: duplicates, withdrawn keys, expired deadlines, draining, reachability.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.KeyId

/** Checks offers before the load is considered, and records each attempt id in [deduplicator]. */
internal class AdmissionPrecheck(
    private val deduplicator: AttemptDeduplicator,
) {
    private val withdrawnKeys = HashSet<KeyId>()
    var draining = false
    var reachable = true

    /** Refuses requests with [keyIds] from now on. */
    fun withdraw(keyIds: Set<KeyId>) {
        withdrawnKeys += keyIds
    }

    /** Records the attempt of [request] and returns the reason to refuse it, or null if it passes. */
    fun refusalReason(
        request: OfferedRequest,
        nowMs: Long,
    ): RefusalReason? =
        when {
            !deduplicator.add(request.id, nowMs) -> RefusalReason.DUPLICATE
            request.keyId != null && request.keyId in withdrawnKeys -> RefusalReason.KEY_WITHDRAWN
            request.deadlineMs <= nowMs -> RefusalReason.EXPIRED
            draining -> RefusalReason.DRAINING
            !reachable -> RefusalReason.UPSTREAM_DOWN
            else -> null
        }
}
