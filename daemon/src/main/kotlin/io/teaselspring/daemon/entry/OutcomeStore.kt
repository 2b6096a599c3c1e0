/*
 * Store for idempotency keys and the responses of their requests. A key is claimed before the request runs, so that a
 * retry by the caller, also on another entry, gets the stored response and never runs a second time.
 */
package io.teaselspring.daemon.entry

import arrow.core.Either
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId
import io.teaselspring.protocol.Header

/** Identifies a request with an idempotency key. [fingerprint] is a SHA-256 of method, path and body. */
data class OutcomeKey(
    val organisation: OrganisationId?,
    val idempotencyKey: String,
    val fingerprint: String,
)

/** A response as it was sent to the caller. */
class StoredResponse(
    val status: Int,
    val headers: List<Header>,
    val body: ByteArray,
)

/** The result of a claim. */
sealed interface Claim {
    /** The request is the first with this key and may run. */
    data object Taken : Claim

    /** The request has run; this is its response. */
    class Completed(
        val response: StoredResponse,
    ) : Claim

    /** The request was claimed before and has no stored response: it is still running, or its outcome is unknown. */
    data object Unknown : Claim

    /** The key was used with another request. */
    data object OtherRequest : Claim
}

/** The store cannot be reached or does not respond in time. */
data class StoreUnavailable(
    val detail: String,
)

/** Stores claims and outcomes. Each function has its own timeout and reports any failure as [StoreUnavailable]. */
interface OutcomeStore {
    /** Claims [key] for [requestId]. */
    suspend fun claim(
        key: OutcomeKey,
        requestId: RequestId,
    ): Either<StoreUnavailable, Claim>

    /** Stores the response to a claimed request. */
    suspend fun store(
        key: OutcomeKey,
        requestId: RequestId,
        response: StoredResponse,
    ): Either<StoreUnavailable, Unit>

    /** Releases the claim of a request that certainly has not run. */
    suspend fun release(
        key: OutcomeKey,
        requestId: RequestId,
    ): Either<StoreUnavailable, Unit>
}
