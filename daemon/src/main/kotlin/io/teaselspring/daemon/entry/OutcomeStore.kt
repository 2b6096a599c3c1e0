/*
 * Outcomes of requests with an idempotency key. A claim is taken before the request runs, so that a repeat, also
 * one on another entry, gets the stored answer and never runs a second time.
 */
package io.teaselspring.daemon.entry

import arrow.core.Either
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId
import io.teaselspring.protocol.Header

/** Identifies a request that its caller may repeat. [fingerprint] is a SHA-256 of method, path and body. */
data class OutcomeKey(
    val organisation: OrganisationId?,
    val idempotencyKey: String,
    val fingerprint: String,
)

/** A response as it was given to the caller. */
class StoredResponse(
    val status: Int,
    val headers: List<Header>,
    val body: ByteArray,
)

/** What a claim led to. */
sealed interface Claim {
    /** The caller's request is the first and may run. */
    data object Taken : Claim

    /** The request has run; this is its response. */
    class Completed(
        val response: StoredResponse,
    ) : Claim

    /** The request was claimed before and has no stored response: it still runs, or its outcome is unknown. */
    data object Unknown : Claim

    /** The key was used with another request. */
    data object OtherRequest : Claim
}

/** The store cannot be reached or does not answer in time. */
data class StoreUnavailable(
    val detail: String,
)

/** Claims and outcomes. All functions bound their own time and report a store that fails as [StoreUnavailable]. */
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

    /** Gives up the claim of a request that has certainly not run. */
    suspend fun release(
        key: OutcomeKey,
        requestId: RequestId,
    ): Either<StoreUnavailable, Unit>
}
