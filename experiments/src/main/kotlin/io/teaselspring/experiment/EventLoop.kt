/*
 * Discrete event loop in virtual time. Events at the same time run in the order in which they were scheduled, so a
 * run depends on its seed only.
 */
package io.teaselspring.experiment

import java.util.PriorityQueue

/** Virtual time in microseconds and the events still to come. */
class EventLoop {
    private class Event(
        val atUs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue(compareBy<Event>({ it.atUs }, { it.order }))
    private var scheduled = 0L

    var nowUs = 0L
        private set

    val nowMs: Long get() = nowUs / 1000

    /** Runs [action] [delayUs] from now. */
    fun after(
        delayUs: Long,
        action: () -> Unit,
    ) {
        events.add(Event(nowUs + maxOf(0, delayUs), scheduled++, action))
    }

    /** Runs [action] at [atMs] since the start. */
    fun at(
        atMs: Long,
        action: () -> Unit,
    ) = after(atMs * 1000 - nowUs, action)

    /** Runs events until [endMs]. */
    fun runUntil(endMs: Long) {
        while (events.isNotEmpty() && events.peek().atUs <= endMs * 1000) {
            val event = events.poll()
            nowUs = event.atUs
            event.action()
        }
    }
}
