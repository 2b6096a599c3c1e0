/*
 * Admission checks that do not depend on load: duplicates, withdrawn keys, expired deadlines, draining, reachability,
 * and what the upstream has said of itself.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.KeyId
import io.teaselspring.core.registry.Availability
import io.teaselspring.core.registry.StatedAvailability

/** Checks offers before the load is considered, and records each attempt id in [deduplicator]. */
internal class AdmissionPrecheck(
    private val deduplicator: AttemptDeduplicator,
) {
    private val withdrawnKeys = HashSet<KeyId>()
    var draining = false
    var reachable = true

    /** What the present process of the upstream has said of itself. */
    var stated = StatedAvailability()

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
            draining || stated.at(nowMs) == Availability.LEAVING -> RefusalReason.DRAINING
            !reachable -> RefusalReason.UPSTREAM_DOWN
            stated.at(nowMs) == Availability.PAUSED -> RefusalReason.UPSTREAM_PAUSED
            else -> null
        }
}
