/*
 * Requests with an idempotency key. They run whole before the caller gets the first byte, so that the stored response
 * is the one that was given, and they go on when the caller leaves, so that a repeat finds the outcome.
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

/** Header with the caller's name for a request that must not run twice. */
internal const val IDEMPOTENCY_HEADER = "Idempotency-Key"

/** Largest answer that is collected whole, in bytes. */
internal const val MAX_WHOLE_RESPONSE_BYTES = 4 * 1024 * 1024

/** The outcome of a request whose response was collected whole. */
internal sealed interface Whole {
    class Response(
        val response: StoredResponse,
        val isRepeat: Boolean = false,
    ) : Whole

    class Failed(
        val refusal: Refusal,
    ) : Whole
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

/** Claims [key] and runs [parts], which must not have begun, in [scope]; or gives what an earlier run left. */
internal suspend fun OutcomeStore.runClaimed(
    scope: CoroutineScope,
    key: OutcomeKey,
    id: RequestId,
    parts: Flow<ResponsePart>,
): Whole {
    val claim =
        claim(key, id).getOrElse {
            val message = "the outcome cannot be recorded: ${it.detail}"
            return Whole.Failed(Refusal(503, "store_unavailable", message, Ran.NOT_RUN, retryAfterMs = 1_000))
        }
    return when (claim) {
        Claim.Taken -> scope.async { settle(key, id, collectWhole(parts)) }.await()
        is Claim.Completed -> Whole.Response(claim.response, isRepeat = true)
        Claim.Unknown -> {
            val message = "an earlier request with this key has no known outcome"
            Whole.Failed(Refusal(409, "outcome_unknown", message, Ran.OUTCOME_UNKNOWN))
        }
        Claim.OtherRequest -> {
            val message = "the key was used with another request"
            Whole.Failed(Refusal(422, "idempotency_key_reused", message))
        }
    }
}

private suspend fun OutcomeStore.settle(
    key: OutcomeKey,
    id: RequestId,
    whole: Whole,
): Whole {
    val result =
        when {
            whole is Whole.Response -> store(key, id, whole.response)
            whole is Whole.Failed && whole.refusal.ran == Ran.NOT_RUN -> release(key, id)
            // The claim stays, so that a repeat does not run.
            else -> return whole
        }
    result.onLeft { log.warn("event=outcome_not_stored request={} error=\"{}\"", id, it.detail) }
    return whole
}

/** Collects a response that is passed through. */
internal suspend fun collectWhole(parts: Flow<ResponsePart>): Whole {
    var head: ResponsePart.Head? = null
    var refusal: Refusal? = null
    val body = ByteArrayOutputStream()
    parts.collect { part ->
        when (part) {
            is ResponsePart.Head -> head = part
            is ResponsePart.Data -> if (body.size() <= MAX_WHOLE_RESPONSE_BYTES) body.write(part.bytes)
            is ResponsePart.Error -> refusal = part.refusal
            ResponsePart.End -> Unit
        }
    }
    val failed = refusal
    val begun = head
    return when {
        failed != null -> Whole.Failed(failed)
        begun == null || body.size() > MAX_WHOLE_RESPONSE_BYTES -> Whole.Failed(TOO_LARGE)
        else -> Whole.Response(StoredResponse(begun.status, begun.headers, body.toByteArray()))
    }
}
