/*
 * Which offers an agent takes at all, whatever its load.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.KeyId

/** What an agent knows that settles an offer; each request id is noted in [record]. */
internal class OfferGate(
    private val record: AttemptRecord,
) {
    private val withdrawnKeys = HashSet<KeyId>()
    var draining = false
    var reachable = true

    /** Requests with [keyIds] are refused from now on. */
    fun withdraw(keyIds: Set<KeyId>) {
        withdrawnKeys += keyIds
    }

    /** Notes [request], and returns why it is refused, or null. */
    fun refusalOf(
        request: OfferedRequest,
        nowMs: Long,
    ): RefusalReason? =
        when {
            !record.add(request.id, nowMs) -> RefusalReason.DUPLICATE
            request.keyId != null && request.keyId in withdrawnKeys -> RefusalReason.KEY_WITHDRAWN
            request.deadlineMs <= nowMs -> RefusalReason.EXPIRED
            draining -> RefusalReason.DRAINING
            !reachable -> RefusalReason.UPSTREAM_DOWN
            else -> null
        }
}
