/*
 * Scaling orders as a write-ahead record (transactional outbox): an order is stored before it is sent. It states an
 * absolute count, which makes sending it again idempotent, and the successor of a failed leader resumes from the last
 * recorded order.
 */
package io.teaselspring.core.orders

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Delivery state of an order. */
@Serializable
public enum class OrderState {
    /** Recorded; it may or may not have been sent. */
    @SerialName("pending")
    PENDING,

    /** The platform confirmed it. */
    @SerialName("sent")
    SENT,
}

/**
 * The last order for one upstream of one data centre. [number] rises with each order, across leaders; [epoch] is the
 * fencing token of the leader that recorded the order.
 */
@Serializable
public data class OrderRow(
    val epoch: Long,
    val number: Long,
    val count: Int,
    val state: OrderState,
    @SerialName("recorded_at_ms") val recordedAtMs: Long,
)

/**
 * The order to record under [epoch] when [count] instances are wanted, or null if the last order already covers that.
 * An order that another epoch left pending is recorded again under a new number, because the platform may have refused
 * it or never received it.
 */
public fun OrderRow?.nextOrder(
    epoch: Long,
    count: Int,
    wallMs: Long,
): OrderRow? =
    when {
        this == null -> OrderRow(epoch, 1, count, OrderState.PENDING, wallMs)
        this.count == count && state == OrderState.SENT -> null
        this.count == count && this.epoch == epoch -> null
        else -> OrderRow(epoch, number + 1, count, OrderState.PENDING, wallMs)
    }
