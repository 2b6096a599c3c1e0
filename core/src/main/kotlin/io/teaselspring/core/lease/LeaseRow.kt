/*
 * The stored form of a lease and the times that both sides of it keep.
 */
package io.teaselspring.core.lease

import io.teaselspring.core.Incarnation
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A lease in the table. [epoch] rises with each holder; a null [holder] means that the last one gave it up and that its
 * orders have reached their deadline. [writeId] tells a writer whose response was lost whether the row is its own.
 * [storeMs] is the store's time at which the row was written, or somewhat earlier, if the writer knew it.
 */
@Serializable
public data class LeaseRow(
    val holder: Incarnation?,
    val epoch: Long,
    @SerialName("write_id") val writeId: String,
    @SerialName("store_ms") val storeMs: Long? = null,
)

/**
 * Times of a lease, in milliseconds. The holder counts [durationMs] from before it sent the write and stops [safetyMs]
 * earlier; a successor waits [durationMs], [marginMs] and [orderDeadlineMs] from when it saw the row, or from the time
 * of the store that the row bears. An order that is not delivered within [orderDeadlineMs] is given up by its sender.
 */
public data class LeaseTimes(
    val durationMs: Long = 10_000,
    val renewMs: Long = 3_000,
    val pollMs: Long = 3_000,
    val retryMs: Long = 500,
    val safetyMs: Long = 2_000,
    val marginMs: Long = 1_000,
    val orderDeadlineMs: Long = 1_000,
    val jumpMs: Long = 500,
) {
    /** How long a successor waits after it first saw the row that it replaces. */
    public val takeoverMs: Long get() = durationMs + marginMs + orderDeadlineMs
}

/**
 * The clocks of a process at one moment. The wall clock serves only to detect that one of them jumped. [storeMs] is the
 * store's own time, or somewhat earlier, null if it is not known for certain.
 */
public data class ClockReading(
    val monotonicMs: Long,
    val wallMs: Long,
    val storeMs: Long? = null,
)
