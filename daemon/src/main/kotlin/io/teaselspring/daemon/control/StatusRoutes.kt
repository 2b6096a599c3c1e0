/*
 * Operators' routes that show what the control side does: status, leases, orders and usage windows.
 */
package io.teaselspring.daemon.control

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.teaselspring.core.usage.FrozenWindow
import io.teaselspring.core.usage.UsageWindow
import io.teaselspring.core.usage.usageWindowNamed
import io.teaselspring.core.usage.usageWindowOf
import io.teaselspring.daemon.config.ConfigHolder
import io.teaselspring.daemon.config.TABLE
import io.teaselspring.daemon.lease.LeaseKeeper
import io.teaselspring.daemon.lease.LeaseStatus
import io.teaselspring.daemon.membership.ControlPeers
import io.teaselspring.daemon.membership.Directory
import io.teaselspring.daemon.orders.ORDERS_PREFIX
import io.teaselspring.daemon.usage.EntryUsage
import io.teaselspring.daemon.usage.UsageTable
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableStore
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlin.time.Clock

private const val MAX_WINDOWS = 200

/** What the status shows. */
internal class StatusParts(
    val config: ConfigHolder,
    val directory: Directory,
    val peers: ControlPeers,
    val usage: EntryUsage,
    val leases: List<LeaseKeeper>,
    val table: TableStore,
)

/** One usage window: `open`, `closed`, `frozen` or `reported`. */
@Serializable
internal data class WindowEntry(
    val window: String,
    val state: String,
    val epoch: Long? = null,
    val organisations: Int? = null,
    @SerialName("completion_tokens") val completionTokens: Long? = null,
)

internal fun Route.statusRoutes(parts: StatusParts) {
    get("/status") { status(parts) }
    get("/leases") { call.respondJson(parts.leases.map { it.status().asJson() }) }
    get("/orders") {
        orders(parts.table).fold(
            { call.respondError(HttpStatusCode.ServiceUnavailable, storeError(it)) },
            { call.respondJson(it) },
        )
    }
}

private suspend fun RoutingContext.status(parts: StatusParts) {
    val orders = orders(parts.table)
    call.respondJson(
        buildJsonObject {
            put("version", parts.config.view.value.version)
            put("may_serve", parts.config.isServingAllowed())
            put("pending_withdrawals", parts.config.pending().size)
            put("linked_entries", parts.peers.linkedInstances().size)
            put("listed_entries", parts.directory.entries().size)
            put("listed_agents", parts.directory.agents()?.size ?: 0)
            put("usage_records_not_stored", parts.usage.openCount())
            put("leases", JsonArray(parts.leases.map { it.status().asJson() }))
            put("orders", orders.fold({ JsonPrimitive("store unavailable") }, { it }))
        },
    )
}

private fun LeaseStatus.asJson() =
    buildJsonObject {
        put("lease", name)
        put("holder", holder?.value)
        put("epoch", epoch)
        put("held_here", isHeldLocally)
    }

private suspend fun orders(table: TableStore): Either<PlatformError, JsonArray> {
    val found = mutableListOf<JsonElement>()
    var after: String? = null
    do {
        val page = table.scan(TABLE, ORDERS_PREFIX, after).getOrElse { return it.left() }
        page.rows.forEach { row ->
            val upstream = "upstream" to JsonPrimitive(row.key.removePrefix(ORDERS_PREFIX))
            found += JsonObject(mapOf(upstream) + (row.value as? JsonObject).orEmpty())
        }
        after = page.rows.lastOrNull()?.key
    } while (page.more)
    return JsonArray(found).right()
}

internal fun Route.usageRoutes(
    table: UsageTable,
    clock: Clock,
    lengthMs: Long,
) {
    get("/usage/windows") {
        val count = call.intParameter("limit", 24).coerceIn(1, MAX_WINDOWS)
        val now = usageWindowOf(clock.now().toEpochMilliseconds(), lengthMs)
        val windows = (0 until count).map { UsageWindow(now.startMs - it * lengthMs) }
        either { windows.mapNotNull { entry(table, it).bind() } }.fold(
            { call.respondError(HttpStatusCode.ServiceUnavailable, storeError(it)) },
            { call.respondJson(it) },
        )
    }
    get("/usage/windows/{window}") { window(table) }
}

private suspend fun RoutingContext.window(table: UsageTable) {
    val window = call.parameters["window"]?.let(::usageWindowNamed)
    if (window == null) {
        val error = OperatorError("invalid", "the window is ${call.parameters["window"]}, allowed is 15 digits")
        return call.respondError(HttpStatusCode.UnprocessableEntity, error)
    }
    either { table.frozen(window).bind() ?: FrozenWindow(0, 0, table.sum(window).bind()) }.fold(
        { call.respondError(HttpStatusCode.ServiceUnavailable, storeError(it)) },
        { call.respondJson(it) },
    )
}

/** The state of [window], or null if it has no rows. */
private suspend fun entry(
    table: UsageTable,
    window: UsageWindow,
): Either<PlatformError, WindowEntry?> =
    either {
        val frozen = table.frozen(window).bind()
        val figures = frozen?.figures ?: table.sum(window).bind()
        val state =
            when {
                frozen == null -> if (table.isClosed(window).bind()) "closed" else "open"
                table.isReported(window).bind() -> "reported"
                else -> "frozen"
            }
        val organisations = figures.map { it.organisation }.distinct().size
        val tokens = figures.sumOf { it.completionTokens }
        WindowEntry(window.id, state, frozen?.epoch, organisations, tokens)
            .takeUnless { frozen == null && figures.isEmpty() }
    }
