/*
 * Errors as callers see them.
 */
package io.teaselspring.daemon.entry

import io.teaselspring.core.RequestId
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

/** Whether a request that ended in an error can have run, as callers see it. */
enum class Ran(
    val text: String,
) {
    NOT_RUN("not run"),
    OUTCOME_UNKNOWN("outcome unknown"),
}

/** An error that ends a request. [retryAfterMs] is given where a later attempt may succeed. */
data class Refusal(
    val status: Int,
    val type: String,
    val message: String,
    val ran: Ran = Ran.NOT_RUN,
    val retryAfterMs: Long? = null,
) {
    /** The JSON body of the error. */
    fun json(requestId: RequestId): JsonObject =
        buildJsonObject {
            putJsonObject("error") {
                put("message", message)
                put("type", type)
                put("request_id", requestId.value)
                put("ran", ran.text)
            }
        }

    /** The value of `Retry-After`, whole seconds rounded up and at least 1. */
    fun retryAfterSeconds(): Long? = retryAfterMs?.let { maxOf(1, (it + 999) / 1000) }
}
