/*
 * Requests with an idempotency key. Their response is buffered completely before the first byte is sent, so that the
 * stored response equals the one sent. They continue after the caller disconnects, so that a retry by the caller finds
 * the outcome.
 */
package io.teaselspring.daemon.entry

import arrow.core.getOrElse
import io.teaselspring.core.RequestId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.Flow
import org.slf4j.LoggerFactory
import java.io.ByteArrayOutputStream
import java.security.MessageDigest
import java.util.HexFormat

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.outcome")

/** Header with the idempotency key, which the caller chooses for a request that must not run twice. */
internal const val IDEMPOTENCY_HEADER = "Idempotency-Key"

/** Largest response that is buffered, in bytes. */
internal const val MAX_COLLECTED_RESPONSE_BYTES = 4 * 1024 * 1024

/** The outcome of a request whose response is buffered. */
internal sealed interface CollectedResponse {
    class Complete(
        val response: StoredResponse,
        val isReplay: Boolean = false,
    ) : CollectedResponse

    class Failed(
        val refusal: Refusal,
    ) : CollectedResponse
}

/** The key under which [request] is claimed with the caller's [idempotencyKey]. */
internal fun outcomeKey(
    request: RoutedRequest,
    idempotencyKey: String,
): OutcomeKey {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update("${request.upstreamRequest.method} ${request.upstreamRequest.path}\n".encodeToByteArray())
    digest.update(request.upstreamRequest.body)
    return OutcomeKey(request.organisation, idempotencyKey, HexFormat.of().formatHex(digest.digest()))
}

/**
 * Claims [key] and collects [parts], a cold flow that runs the request, in [scope]; returns the stored outcome instead
 * if the key was claimed before.
 */
internal suspend fun OutcomeStore.runClaimed(
    scope: CoroutineScope,
    key: OutcomeKey,
    id: RequestId,
    parts: Flow<ResponsePart>,
): CollectedResponse {
    val claim =
        claim(key, id).getOrElse {
            val message = "the outcome cannot be recorded: ${it.detail}"
            return CollectedResponse.Failed(
                Refusal(503, "store_unavailable", message, ExecutionStatus.NOT_RUN, retryAfterMs = 1_000),
            )
        }
    return when (claim) {
        Claim.Taken -> scope.async { recordOutcome(key, id, collectResponse(parts)) }.await()
        is Claim.Completed -> CollectedResponse.Complete(claim.response, isReplay = true)
        Claim.Unknown -> {
            val message = "an earlier request with this key has no known outcome"
            CollectedResponse.Failed(Refusal(409, "outcome_unknown", message, ExecutionStatus.OUTCOME_UNKNOWN))
        }
        Claim.OtherRequest -> {
            val message = "the key was used with another request"
            CollectedResponse.Failed(Refusal(422, "idempotency_key_reused", message))
        }
    }
}

private suspend fun OutcomeStore.recordOutcome(
    key: OutcomeKey,
    id: RequestId,
    collected: CollectedResponse,
): CollectedResponse {
    val result =
        when {
            collected is CollectedResponse.Complete -> store(key, id, collected.response)
            collected is CollectedResponse.Failed && collected.refusal.executionStatus == ExecutionStatus.NOT_RUN ->
                release(key, id)
            // The request may have run; the claim is kept, so that a retry by the caller does not run it again.
            else -> return collected
        }
    result.onLeft { log.warn("event=outcome_not_stored request={} error=\"{}\"", id, it.detail) }
    return collected
}

/** Buffers the response in [parts], up to [MAX_COLLECTED_RESPONSE_BYTES]. */
internal suspend fun collectResponse(parts: Flow<ResponsePart>): CollectedResponse {
    var head: ResponsePart.Head? = null
    var refusal: Refusal? = null
    val body = ByteArrayOutputStream()
    parts.collect { part ->
        when (part) {
            is ResponsePart.Head -> head = part
            is ResponsePart.Data -> if (body.size() <= MAX_COLLECTED_RESPONSE_BYTES) body.write(part.bytes)
            is ResponsePart.Error -> refusal = part.refusal
            ResponsePart.End -> Unit
        }
    }
    val failure = refusal
    val receivedHead = head
    return when {
        failure != null -> CollectedResponse.Failed(failure)
        receivedHead == null || body.size() > MAX_COLLECTED_RESPONSE_BYTES ->
            CollectedResponse.Failed(RESPONSE_TOO_LARGE)
        else ->
            CollectedResponse.Complete(StoredResponse(receivedHead.status, receivedHead.headers, body.toByteArray()))
    }
}
