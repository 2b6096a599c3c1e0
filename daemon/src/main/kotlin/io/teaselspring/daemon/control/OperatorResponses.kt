/*
 * Answers of the operators' routes: JSON bodies, and errors with a type that the command line turns into an exit
 * code.
 */
package io.teaselspring.daemon.control

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.teaselspring.core.config.ConfigProblem
import io.teaselspring.daemon.config.ChangeRefusal
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.describe
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

internal val operatorJson =
    Json {
        encodeDefaults = false
        explicitNulls = false
    }

private const val MAX_AUTHOR_CHARS = 100

/** Header by which operators say who they are; it is written into the history. */
const val AUTHOR_HEADER = "X-Operator"

/** An error as operators see it. [type] is `invalid`, `conflict`, `refused`, `store_unavailable` or `timeout`. */
@Serializable
data class OperatorError(
    val type: String,
    val message: String,
    val problems: List<ConfigProblem> = emptyList(),
    @SerialName("based_on") val basedOn: Long? = null,
    val current: Long? = null,
)

@Serializable
private class ErrorBody(
    val error: OperatorError,
)

internal suspend fun ApplicationCall.respondError(
    status: HttpStatusCode,
    error: OperatorError,
) = respondText(operatorJson.encodeToString(ErrorBody(error)), ContentType.Application.Json, status)

internal suspend inline fun <reified T> ApplicationCall.respondJson(
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) = respondText(operatorJson.encodeToString(value), ContentType.Application.Json, status)

/** The request's JSON body, or null after an error was answered. */
internal suspend inline fun <reified T> ApplicationCall.receiveJson(): T? =
    try {
        operatorJson.decodeFromString<T>(receiveText())
    } catch (e: SerializationException) {
        respondError(HttpStatusCode.UnprocessableEntity, OperatorError("invalid", firstLine(e)))
        null
    }

internal fun firstLine(e: Throwable): String = e.message?.lineSequence()?.firstOrNull() ?: "undecodable body"

internal suspend fun ApplicationCall.respondRefusal(refusal: ChangeRefusal) =
    when (refusal) {
        is ChangeRefusal.Invalid ->
            respondError(
                HttpStatusCode.UnprocessableEntity,
                OperatorError("invalid", "the change is not valid", refusal.problems),
            )
        is ChangeRefusal.Conflict ->
            respondError(
                HttpStatusCode.Conflict,
                OperatorError(
                    "conflict",
                    "based on version ${refusal.basedOn}, but version ${refusal.current} is in force",
                    basedOn = refusal.basedOn,
                    current = refusal.current,
                ),
            )
        is ChangeRefusal.NoSuch -> respondError(HttpStatusCode.NotFound, OperatorError("refused", refusal.detail))
        is ChangeRefusal.Store -> respondError(HttpStatusCode.ServiceUnavailable, storeError(refusal.error))
    }

internal fun storeError(error: PlatformError): OperatorError {
    val applied = if (error is PlatformError.Ambiguous) "the change may have been accepted" else "nothing was changed"
    return OperatorError("store_unavailable", "store unavailable, $applied: ${error.describe()}")
}

/** Who makes this change, for the history. */
internal fun ApplicationCall.author(): String =
    request.headers[AUTHOR_HEADER]
        ?.filter { it in ' '..'~' }
        ?.take(MAX_AUTHOR_CHARS)
        ?.ifBlank { null } ?: "operator"
