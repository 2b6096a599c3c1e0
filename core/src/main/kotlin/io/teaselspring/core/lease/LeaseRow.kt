/*
 * The lease as it is stored, and the durations that its holder and its candidates agree on.
 */
package io.teaselspring.core.lease

import io.teaselspring.core.Incarnation
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The row of a lease. [epoch] is the fencing token and rises with each holder. A null [holder] means that the last one
 * released the lease and that its orders have reached their deadline. By [writeId] a writer whose response was lost
 * recognises its own row. [storeMs] is the store's time at which the row was written, or somewhat earlier; null if the
 * writer did not know it. [generation] is the generation of the store in which the row was written.
 */
@Serializable
public data class LeaseRow(
    val holder: Incarnation?,
    val epoch: Long,
    @SerialName("write_id") val writeId: String,
    @SerialName("store_ms") val storeMs: Long? = null,
    val generation: Long? = null,
)

/**
 * Durations of a lease, in milliseconds. The holder counts [durationMs] from before it sent the write and stops
 * [safetyMs] earlier. A successor waits for the sum of [durationMs], [marginMs] and [orderDeadlineMs], counted from
 * when it first observed the row or from the store's time in the row. The sender abandons an order that is not
 * delivered within [orderDeadlineMs]. A difference of more than [jumpMs] between the advances of the wall clock and of
 * the monotonic clock counts as a clock jump.
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
    /** How long a successor waits after it first observed the row that it replaces. */
    public val takeoverMs: Long get() = durationMs + marginMs + orderDeadlineMs
}

/**
 * The clocks of a process at one moment. The wall clock serves only to detect that one of the two jumped. [storeMs] is
 * the store's own time, or somewhat earlier, null if it is not known for certain.
 */
public data class ClockReading(
    val monotonicMs: Long,
    val wallMs: Long,
    val storeMs: Long? = null,
)
