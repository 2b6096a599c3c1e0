/*
 * Idempotency keys: the stored claim and response of a request that carries one, and what a repeated request with the
 * same key gets.
 */
package io.teaselspring.core.outcome

import io.teaselspring.core.Incarnation
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** The response that was sent to the caller; the body is in Base64. */
@Serializable
public data class OutcomeResponse(
    val status: Int,
    val headers: List<List<String>>,
    @SerialName("body_base64") val bodyBase64: String,
)

/**
 * A claim on an idempotency key by the request [requestId] on the entry [holder]. [fingerprint] identifies the content
 * of the request. While [response] is null, the request is running or its outcome is unknown; such a claim never
 * permits another run.
 */
@Serializable
public data class OutcomeRow(
    @SerialName("request_id") val requestId: RequestId,
    val holder: Incarnation,
    val fingerprint: String,
    @SerialName("claimed_at_ms") val claimedAtMs: Long,
    @SerialName("answer") val response: OutcomeResponse? = null,
)

/** The result of looking up a request's idempotency key. */
public sealed interface ClaimLookup {
    /** The request holds the claim itself and may run. */
    public data object OwnClaim : ClaimLookup

    /** An earlier request with the same content has a stored response. */
    public data class Completed(
        val response: OutcomeResponse,
    ) : ClaimLookup

    /** An earlier request is running, or its entry died and it is unknown whether the request ran. */
    public data object Unknown : ClaimLookup

    /** The key was used for a request with other content. */
    public data object OtherRequest : ClaimLookup
}

/** The result of looking up this row for the request [requestId] with the content [fingerprint]. */
public fun OutcomeRow.lookupFor(
    requestId: RequestId,
    fingerprint: String,
): ClaimLookup {
    val stored = response
    return when {
        this.fingerprint != fingerprint -> ClaimLookup.OtherRequest
        stored != null -> ClaimLookup.Completed(stored)
        this.requestId == requestId -> ClaimLookup.OwnClaim
        else -> ClaimLookup.Unknown
    }
}

private val VERBATIM_KEY = Regex("[A-Za-z0-9._-]{1,128}")

/** The row key for a caller's idempotency key; one with other characters, or a longer one, is replaced by its hash. */
public fun outcomeRowKey(
    organisation: OrganisationId?,
    idempotencyKey: String,
): String {
    val name = if (idempotencyKey.matches(VERBATIM_KEY)) idempotencyKey else "sha256:" + sha256Hex(idempotencyKey)
    return "outcome/${organisation?.value ?: ":open"}/$name"
}

private fun sha256Hex(text: String) =
    MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
