/*
 * The stored claim and outcome of a request with an idempotency key, and what a repeat of it gets.
 */
package io.teaselspring.core.outcome

import io.teaselspring.core.Incarnation
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** A response as it was given to the caller; the body is in Base64. */
@Serializable
public data class OutcomeResponse(
    val status: Int,
    val headers: List<List<String>>,
    @SerialName("body_base64") val bodyBase64: String,
)

/**
 * A claim by [requestId] on the entry [holder]. [fingerprint] identifies the content of the request. While [response]
 * is null the request runs or its outcome is unknown; nothing ever turns such a claim into permission to run again.
 */
@Serializable
public data class OutcomeRow(
    @SerialName("request_id") val requestId: RequestId,
    val holder: Incarnation,
    val fingerprint: String,
    @SerialName("claimed_at_ms") val claimedAtMs: Long,
    @SerialName("answer") val response: OutcomeResponse? = null,
)

/** What a request finds under its idempotency key. */
public sealed interface OutcomeFound {
    /** The claim is this request's own: it may run. */
    public data object OwnClaim : OutcomeFound

    /** An earlier request with the same content has a stored response. */
    public data class Completed(
        val response: OutcomeResponse,
    ) : OutcomeFound

    /** An earlier request runs, or its entry died; whether it ran is unknown. */
    public data object Unknown : OutcomeFound

    /** The key was used for a request with other content. */
    public data object OtherRequest : OutcomeFound
}

/** What this row means for the request [requestId] with the content [fingerprint]. */
public fun OutcomeRow.outcomeFor(
    requestId: RequestId,
    fingerprint: String,
): OutcomeFound {
    val given = response
    return when {
        this.fingerprint != fingerprint -> OutcomeFound.OtherRequest
        given != null -> OutcomeFound.Completed(given)
        this.requestId == requestId -> OutcomeFound.OwnClaim
        else -> OutcomeFound.Unknown
    }
}

private val PLAIN_KEY = Regex("[A-Za-z0-9._-]{1,128}")

/** The row key for a caller's idempotency key, which may be any text. */
public fun outcomeRowKey(
    organisation: OrganisationId?,
    idempotencyKey: String,
): String {
    val name = if (idempotencyKey.matches(PLAIN_KEY)) idempotencyKey else "sha256:" + hex(idempotencyKey)
    return "outcome/${organisation?.value ?: ":open"}/$name"
}

private fun hex(text: String) =
    MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
