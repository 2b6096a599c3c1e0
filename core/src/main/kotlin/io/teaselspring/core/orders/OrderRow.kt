/*
 * Orders as they are recorded before they are sent. An order is absolute, so that sending it again is harmless, and
 * the successor of a dead leader takes up whatever was recorded last.
 */
package io.teaselspring.core.orders

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether an order reached the platform. */
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
 * The last order for one upstream of one data centre. [number] rises with each order, across leaders; [epoch] is that
 * of the leader that recorded it.
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
 * The order to record under [epoch] when [count] instances are wanted, or null if [this] already says so. An order that
 * another epoch left pending is taken up under a new number, because its receiver may have refused it or never seen it.
 */
public fun OrderRow?.successor(
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
