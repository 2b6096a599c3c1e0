/*
 * The ordering interface and the usage intake, with the journal of everything they received.
 */
package io.teaselspring.standins.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlin.time.Clock

/** An order to run [count] instances of an upstream; the count is absolute. */
@Serializable
internal data class Order(
    @SerialName("data_centre") val dataCentre: String,
    val upstream: String,
    val epoch: Long,
    val number: Long,
    val count: Int,
    val holder: String,
    val action: String = "scale",
)

@Serializable
internal data class UsageReport(
    val window: JsonElement,
    val epoch: Long,
    val holder: String,
    val figures: JsonObject,
)

/** One order or usage report as received. [result] is `applied`, `not_applied`, `stale_epoch` or `accepted`. */
@Serializable
internal data class JournalEntry(
    val seq: Long,
    val kind: String,
    @SerialName("received_at_ms") val receivedAtMs: Long,
    val result: String,
    val body: JsonElement,
)

internal enum class OrderResult { APPLIED, NOT_APPLIED, STALE_EPOCH }

/**
 * Receives orders. The receivers of [checksEpoch] refuse an epoch below the highest they have seen and do not apply an
 * order again or out of sequence; all others apply whatever arrives.
 */
internal class OrderReceivers(
    private val checksEpoch: Set<String>,
) {
    private val lastApplied = mutableMapOf<Pair<String, String>, Order>()

    fun receive(order: Order): OrderResult {
        val place = order.dataCentre to order.upstream
        val last = lastApplied[place]
        if (last != null && order.upstream in checksEpoch) {
            if (order.epoch < last.epoch) return OrderResult.STALE_EPOCH
            // The same order again is a repeat after a lost response and already in effect.
            if (order == last) return OrderResult.APPLIED
            if (order.epoch == last.epoch && order.number <= last.number) return OrderResult.NOT_APPLIED
        }
        lastApplied[place] = order
        return OrderResult.APPLIED
    }

    fun epoch(order: Order): Long = lastApplied[order.dataCentre to order.upstream]?.epoch ?: 0
}

/** Everything received, in order. */
internal class Journal(
    private val clock: Clock,
) {
    private val entries = mutableListOf<JournalEntry>()

    fun add(
        kind: String,
        result: String,
        body: JsonElement,
    ) {
        entries += JournalEntry(entries.size.toLong(), kind, clock.now().toEpochMilliseconds(), result, body)
    }

    fun all(): List<JournalEntry> = entries.toList()
}
