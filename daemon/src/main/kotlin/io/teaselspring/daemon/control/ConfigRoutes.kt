/*
 * Operators' routes for the configuration: read, apply, compare, history, and waiting for a version.
 */
package io.teaselspring.daemon.control

import arrow.core.left
import arrow.core.right
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.teaselspring.core.DataCentre
import io.teaselspring.core.config.ConfigChange
import io.teaselspring.core.config.ConfigEdit
import io.teaselspring.core.config.ConfigState
import io.teaselspring.core.config.diffLines
import io.teaselspring.core.config.problemsOf
import io.teaselspring.core.config.siteConfig
import io.teaselspring.daemon.config.ChangeRefusal
import io.teaselspring.daemon.config.ConfigAcceptor
import io.teaselspring.daemon.config.ConfigHolder
import io.teaselspring.daemon.config.ConfigTable
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

private const val MAX_HISTORY = 500
private const val MAX_WAIT_MS = 60_000L

/** Documents to apply over version [basedOn]; an overlay of JSON null is deleted, and what is not named stays. */
@Serializable
data class ApplyRequest(
    @SerialName("based_on") val basedOn: Long,
    val base: JsonObject? = null,
    val overlays: Map<String, JsonElement> = emptyMap(),
)

/** The documents in force. */
@Serializable
data class ConfigResponse(
    val version: Long,
    val base: JsonObject,
    val overlays: Map<DataCentre, JsonObject>,
)

/** The version that is in force after a change, or that was waited for. */
@Serializable
data class VersionResponse(
    val version: Long,
)

/** What a change would alter in version [version]. */
@Serializable
data class DiffResponse(
    val version: Long,
    val lines: List<String>,
)

/** A line of the history. */
@Serializable
data class HistoryEntry(
    val version: Long,
    val author: String,
    @SerialName("accepted_at_ms") val acceptedAtMs: Long,
    val edits: List<String>,
)

internal fun Route.configRoutes(
    holder: ConfigHolder,
    acceptor: ConfigAcceptor,
    table: ConfigTable,
) {
    get("/config") {
        val state = holder.state
        call.respondJson(ConfigResponse(state.version, state.base, state.overlays))
    }
    get("/config/effective") { effective(holder) }
    post("/config/apply") {
        val request = call.receiveJson<ApplyRequest>() ?: return@post
        acceptor
            .accept(call.author(), request.basedOn) { request.edits() }
            .fold({ call.respondRefusal(it) }, { call.respondJson(VersionResponse(it.version)) })
    }
    post("/config/diff") {
        val request = call.receiveJson<ApplyRequest>() ?: return@post
        diff(holder.state, request)
    }
    get("/config/history") {
        val count = call.intParameter("limit", 20).coerceIn(1, MAX_HISTORY)
        call.respondJson(history(holder, table, count).map { it.entry() })
    }
    get("/config/wait") { waitForVersion(holder) }
}

private suspend fun RoutingContext.effective(holder: ConfigHolder) {
    val name = call.request.queryParameters["data_centre"]
    val view = holder.view.value
    call.respondJson(if (name == null) view.site else holder.state.siteConfig(DataCentre(name)))
}

/** The latest changes, newest first. This process keeps those since its start, the store keeps all. */
private suspend fun history(
    holder: ConfigHolder,
    table: ConfigTable,
    count: Int,
): List<ConfigChange> {
    val known = holder.history(count)
    val version = holder.state.version
    if (known.size >= minOf(version, count.toLong())) return known
    return table.changesAfter(maxOf(0, version - count)).fold({ known }, { it.reversed() })
}

private suspend fun RoutingContext.diff(
    state: ConfigState,
    request: ApplyRequest,
) = request.edits().fold({ call.respondRefusal(it) }) { edits ->
    val problems = state.problemsOf(edits)
    if (problems.isEmpty()) {
        call.respondJson(DiffResponse(state.version, diffOf(state, request)))
    } else {
        call.respondRefusal(ChangeRefusal.Invalid(problems))
    }
}

private fun diffOf(
    state: ConfigState,
    request: ApplyRequest,
): List<String> {
    val base = request.base?.let { diffLines(state.base, it, "base") }.orEmpty()
    val overlays =
        request.overlays.flatMap { (name, value) ->
            diffLines(state.overlays[DataCentre(name)], value.takeUnless { it is JsonNull }, "overlay $name")
        }
    return base + overlays
}

private fun ApplyRequest.edits(): arrow.core.Either<ChangeRefusal, List<ConfigEdit>> {
    val wrong = overlays.entries.firstOrNull { it.value !is JsonObject && it.value !is JsonNull }
    if (wrong != null) return ChangeRefusal.NoSuch("overlay ${wrong.key} is not a JSON object").left()
    val edits =
        listOfNotNull(base?.let { ConfigEdit.PutBase(it) }) +
            overlays.map { (name, value) -> ConfigEdit.PutOverlay(DataCentre(name), value as? JsonObject) }
    return if (edits.isEmpty()) ChangeRefusal.NoSuch("the request names no document").left() else edits.right()
}

private suspend fun RoutingContext.waitForVersion(holder: ConfigHolder) {
    val version = call.request.queryParameters["version"]?.toLongOrNull()
    if (version == null) {
        val error = OperatorError("invalid", "version is ${call.request.queryParameters["version"]}, not a number")
        return call.respondError(HttpStatusCode.UnprocessableEntity, error)
    }
    val timeoutMs = call.intParameter("timeout_ms", 15_000).toLong().coerceIn(0, MAX_WAIT_MS)
    val view = withTimeoutOrNull(timeoutMs) { holder.view.first { it.version >= version } }
    if (view != null) {
        call.respondJson(VersionResponse(view.version))
    } else {
        val current = holder.view.value.version
        val error = OperatorError("timeout", "version $current is in force after $timeoutMs ms", current = current)
        call.respondError(HttpStatusCode.RequestTimeout, error)
    }
}

internal fun ApplicationCall.intParameter(
    name: String,
    default: Int,
): Int = request.queryParameters[name]?.toIntOrNull() ?: default

private fun ConfigChange.entry() = HistoryEntry(version, author, acceptedAtMs, edits.map { it.summary() })

private fun ConfigEdit.summary(): String =
    when (this) {
        is ConfigEdit.PutBase -> "base replaced"
        is ConfigEdit.PutOverlay -> "overlay $dataCentre ${if (value == null) "deleted" else "replaced"}"
        is ConfigEdit.PutOrganisation -> "organisation $id ${if (value == null) "deleted" else "put"}"
        is ConfigEdit.PutKey -> "key $id ${if (value?.withdrawnAtMs == null) "put" else "withdrawn"}"
    }
