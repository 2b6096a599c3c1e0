/*
 * Short times at a random phase in which an entry without the store may send a request. They need no agreement between
 * entries.
 */
package io.teaselspring.core.limit

import kotlin.random.Random

/** Slots of [slotMs], one in each interval. Times are monotonic milliseconds. Not thread-safe. */
internal class StandaloneSlots(
    private val slotMs: Long,
    private val random: Random,
) {
    private var nextMs = 0L

    /** The first slot begins within [intervalMs] after [fromMs]. */
    fun start(
        fromMs: Long,
        intervalMs: Long,
    ) {
        nextMs = fromMs + (random.nextDouble() * intervalMs).toLong()
    }

    /** Whether a slot is open at [nowMs]. A passed one is lost: entries that were idle must not send together. */
    fun isOpen(
        nowMs: Long,
        intervalMs: Long,
    ): Boolean {
        if (nowMs >= nextMs + slotMs) nextMs += ((nowMs - nextMs) / intervalMs).coerceAtLeast(1) * intervalMs
        return nowMs in nextMs until nextMs + slotMs
    }

    /** A request has used the open slot. */
    fun use(intervalMs: Long) {
        nextMs += intervalMs
    }
}
