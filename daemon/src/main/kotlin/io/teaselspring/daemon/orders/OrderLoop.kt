/*
 * Autoscaling: sends orders for instances of upstreams. Only the holder of the lease `lease/orders` sends, with the
 * lease's epoch as the fencing token. A write-ahead record of each order is stored before it is sent, so that the next
 * leader can resume an order that a failed leader may or may not have sent. No orders are sent without the store.
 */
package io.teaselspring.daemon.orders

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.raise.either
import arrow.core.raise.ensure
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

/** Key of the lease in the table. */
const val ORDERS_LEASE = "lease/orders"

internal const val ORDERS_PREFIX = "orders/"

/** An upstream of one data centre. */
data class UpstreamSite(
    val dataCentre: DataCentre,
    val upstream: UpstreamName,
)

/**
 * Inputs of the loop: the configured [upstreams] of all data centres, the [demand] on one of them, or null while there
 * is too little data to decide, and the scaling [policy].
 */
class OrderInputs(
    val upstreams: () -> Map<UpstreamSite, Upstream>,
    val demand: (UpstreamSite) -> UpstreamDemand?,
    val policy: () -> ScalingPolicy,
)

/** Sends orders from the process [own] while [epochToSend] returns an epoch. Sending one times out after [deadline]. */
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
    private val scalingStates = HashMap<UpstreamSite, ScalingState>()
    private var statesEpoch: Long? = null

    /** Sends due orders every [interval], until cancelled. */
    suspend fun run(interval: Duration = 5.seconds): Nothing {
        while (true) {
            delay(interval)
            sendDueOrders()
        }
    }

    /** Evaluates each upstream once and sends an order where its count has to change or an order is still pending. */
    suspend fun sendDueOrders() {
        val epoch = epochToSend() ?: return
        // Scaling state from an earlier epoch may be older than rows that other leaders have written since.
        if (statesEpoch != epoch) scalingStates.clear()
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
            val stored = readOrder(site).bind()
            val count = targetCount(site, upstream, stored?.first)
            val order = count?.let { stored?.first.nextOrder(epoch, it, clock.now().toEpochMilliseconds()) }
            if (order != null) {
                val version = recordOrder(site, order, stored?.second ?: ABSENT).bind()
                sendOrder(site, order, version).bind()
            } else if (stored != null && stored.first.state == OrderState.PENDING && stored.first.epoch == epoch) {
                sendOrder(site, stored.first, stored.second).bind()
            }
        }

    private fun targetCount(
        site: UpstreamSite,
        upstream: Upstream,
        last: OrderRow?,
    ): Int? {
        val demand = inputs.demand(site) ?: return last?.takeIf { it.state == OrderState.PENDING }?.count
        val requiredCount = upstream.neededCount(demand, inputs.policy(), clock.now().toEpochMilliseconds())
        val previous = scalingStates[site] ?: ScalingState(last?.count ?: 0)
        return previous.next(requiredCount, inputs.policy(), nowMs()).also { scalingStates[site] = it }.count
    }

    private suspend fun readOrder(site: UpstreamSite): Either<PlatformError, Pair<OrderRow, Long>?> =
        table.get(TABLE, key(site)).flatMap { row -> if (row == null) null.right() else decodeOrder(row) }

    private suspend fun recordOrder(
        site: UpstreamSite,
        order: OrderRow,
        ifVersion: Long,
    ): Either<PlatformError, Long> =
        resolvingAmbiguousWrite(
            readBack = { readOrder(site).map { found -> found?.takeIf { it.first == order }?.second } },
            write = { table.put(TABLE, key(site), json.encodeToJsonElement(order), ifVersion) },
        )

    /** If the response is lost, the row stays pending and the same order, an absolute count, is sent again. */
    private suspend fun sendOrder(
        site: UpstreamSite,
        order: OrderRow,
        version: Long,
    ): Either<PlatformError, Unit> =
        either {
            val timedOut = PlatformError.Ambiguous("order", "ordering", "no answer within $deadline")
            val body =
                ScaleOrder(
                    site.dataCentre.value,
                    site.upstream.value,
                    order.epoch,
                    order.number,
                    order.count,
                    own.value,
                )
            val mayOrder = { epochToSend() == order.epoch }
            ensure(mayOrder()) {
                PlatformError.Unavailable(
                    "order",
                    "ordering",
                    "not sent: the lease is no longer held in epoch ${order.epoch}",
                )
            }
            (withTimeoutOrNull(deadline) { ordering.send(body, mayOrder) } ?: Either.Left(timedOut)).bind()
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
        .mapLeft { PlatformError.Unavailable("order-decode", "store", "cannot decode row ${row.key}: ${it.message}") }
