/*
 * Orders upstreams under the lease `lease/orders`. Each order is recorded before it is sent, so that a successor
 * takes up what a dead leader may or may not have sent. Without the store there are no orders.
 */
package io.teaselspring.daemon.orders

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import arrow.core.right
import io.teaselspring.core.DataCentre
import io.teaselspring.core.Incarnation
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.config.Upstream
import io.teaselspring.core.orders.OrderRow
import io.teaselspring.core.orders.OrderState
import io.teaselspring.core.orders.ScalingPolicy
import io.teaselspring.core.orders.ScalingState
import io.teaselspring.core.orders.UpstreamDemand
import io.teaselspring.core.orders.neededCount
import io.teaselspring.core.orders.next
import io.teaselspring.core.orders.nextOrder
import io.teaselspring.daemon.MonotonicMs
import io.teaselspring.daemon.config.TABLE
import io.teaselspring.ports.ABSENT
import io.teaselspring.ports.OrderingInterface
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.Row
import io.teaselspring.ports.ScaleOrder
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.describe
import io.teaselspring.ports.resolvingAmbiguousWrite
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import org.slf4j.LoggerFactory
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.orders")

private val json = Json { ignoreUnknownKeys = true }

/** Name of the lease in the table. */
const val ORDERS_LEASE = "lease/orders"

internal const val ORDERS_PREFIX = "orders/"

/** An upstream of one data centre. */
data class UpstreamSite(
    val dataCentre: DataCentre,
    val upstream: UpstreamName,
)

/**
 * What the loop reads: the upstreams of all data centres as configured, the demand of one, or null while too little is
 * known to decide, and the rules.
 */
class OrderInputs(
    val upstreams: () -> Map<UpstreamSite, Upstream>,
    val demand: (UpstreamSite) -> UpstreamDemand?,
    val policy: () -> ScalingPolicy,
)

/** Orders by the process [own] while [epochToSend] gives an epoch. An order is given up after [deadline]. */
class OrderLoop(
    private val own: Incarnation,
    private val table: TableStore,
    private val ordering: OrderingInterface,
    private val inputs: OrderInputs,
    private val clock: Clock,
    private val nowMs: MonotonicMs,
    private val epochToSend: () -> Long?,
    private val deadline: Duration = 1.seconds,
) {
    private val states = HashMap<UpstreamSite, ScalingState>()
    private var statesEpoch: Long? = null

    /** Orders every [interval], until cancelled. */
    suspend fun run(interval: Duration = 5.seconds): Nothing {
        while (true) {
            delay(interval)
            orderDue()
        }
    }

    /** Looks at all upstreams once and orders what is needed. */
    suspend fun orderDue() {
        val epoch = epochToSend() ?: return
        // What an earlier epoch remembered is older than the rows that others wrote since.
        if (statesEpoch != epoch) states.clear()
        statesEpoch = epoch
        inputs.upstreams().forEach { (site, upstream) ->
            orderFor(site, upstream, epoch).onLeft {
                log.warn(
                    "event=order_failed data_centre={} upstream={} {}",
                    site.dataCentre,
                    site.upstream,
                    it.describe(),
                )
            }
        }
    }

    private suspend fun orderFor(
        site: UpstreamSite,
        upstream: Upstream,
        epoch: Long,
    ): Either<PlatformError, Unit> =
        either {
            val stored = read(site).bind()
            val count = targetCount(site, upstream, stored?.first)
            val order = count?.let { stored?.first.nextOrder(epoch, it, clock.now().toEpochMilliseconds()) }
            if (order != null) {
                val version = record(site, order, stored?.second ?: ABSENT).bind()
                send(site, order, version).bind()
            } else if (stored != null && stored.first.state == OrderState.PENDING && stored.first.epoch == epoch) {
                send(site, stored.first, stored.second).bind()
            }
        }

    private fun targetCount(
        site: UpstreamSite,
        upstream: Upstream,
        last: OrderRow?,
    ): Int? {
        val demand = inputs.demand(site) ?: return last?.takeIf { it.state == OrderState.PENDING }?.count
        val need = upstream.neededCount(demand, inputs.policy(), clock.now().toEpochMilliseconds())
        val before = states[site] ?: ScalingState(last?.count ?: 0)
        return before.next(need, inputs.policy(), nowMs()).also { states[site] = it }.count
    }

    private suspend fun read(site: UpstreamSite): Either<PlatformError, Pair<OrderRow, Long>?> =
        table.get(TABLE, key(site)).flatMap { row -> if (row == null) null.right() else decodeOrder(row) }

    private suspend fun record(
        site: UpstreamSite,
        order: OrderRow,
        ifVersion: Long,
    ): Either<PlatformError, Long> =
        resolvingAmbiguousWrite(
            readBack = { read(site).map { found -> found?.takeIf { it.first == order }?.second } },
            write = { table.put(TABLE, key(site), json.encodeToJsonElement(order), ifVersion) },
        )

    /** A response that is lost leaves the row pending, and the same absolute order is sent again. */
    private suspend fun send(
        site: UpstreamSite,
        order: OrderRow,
        version: Long,
    ): Either<PlatformError, Unit> =
        either {
            val late = PlatformError.Ambiguous("order", "ordering", "no answer within $deadline")
            val body =
                ScaleOrder(
                    site.dataCentre.value,
                    site.upstream.value,
                    order.epoch,
                    order.number,
                    order.count,
                    own.value,
                )
            // Nothing may come between this check and the send.
            val held = epochToSend()
            ensureNotNull(held?.takeIf { it == order.epoch }) {
                PlatformError.Unavailable("order", "ordering", "the lease is not held")
            }
            (withTimeoutOrNull(deadline) { ordering.send(body) } ?: Either.Left(late)).bind()
            log.info(
                "event=order_sent data_centre={} upstream={} count={} number={} epoch={}",
                site.dataCentre,
                site.upstream,
                order.count,
                order.number,
                order.epoch,
            )
            table.put(TABLE, key(site), json.encodeToJsonElement(order.copy(state = OrderState.SENT)), version).bind()
        }

    private fun key(site: UpstreamSite) = "$ORDERS_PREFIX${site.dataCentre}/${site.upstream}"
}

internal fun decodeOrder(row: Row): Either<PlatformError, Pair<OrderRow, Long>> =
    Either
        .catch { json.decodeFromJsonElement<OrderRow>(row.value) to row.version }
        .mapLeft { PlatformError.Unavailable("order-decode", "store", "${row.key}: ${it.message}") }
