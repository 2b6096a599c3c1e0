/*
 * Error responses to callers, with their JSON body and `Retry-After`.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.RequestId
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

/** Tells the caller whether a failed request may have run, so that it can decide on a retry. */
enum class ExecutionStatus(
    val text: String,
) {
    NOT_RUN("not run"),
    OUTCOME_UNKNOWN("outcome unknown"),
}

/** An error that ends a request. [retryAfterMs] is set if a later attempt may succeed. */
data class Refusal(
    val status: Int,
    val type: String,
    val message: String,
    val executionStatus: ExecutionStatus = ExecutionStatus.NOT_RUN,
    val retryAfterMs: Long? = null,
) {
    /** The JSON body of the error. */
    fun json(requestId: RequestId): JsonObject =
        buildJsonObject {
            putJsonObject("error") {
                put("message", message)
                put("type", type)
                put("request_id", requestId.value)
                put("ran", executionStatus.text)
            }
        }

    /** The value of `Retry-After`, whole seconds rounded up and at least 1. */
    fun retryAfterSeconds(): Long? = retryAfterMs?.let { maxOf(1, (it + 999) / 1000) }
}
