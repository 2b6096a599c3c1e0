/*
 * Reads the server-sent events of a response that arrives in pieces. Only whole events are returned: the part of an
 * event before a broken end is dropped.
 */
package io.teaselspring.daemon.agent

import io.ktor.sse.ServerSentEvent
import io.netty.buffer.Unpooled
import io.teaselspring.daemon.gateway.EventBoundaries
import io.teaselspring.daemon.gateway.EventFramer

/** Reads events from the body whose parts [nextPart] returns. */
internal class EventReader(
    private val nextPart: suspend () -> PlainEvent,
) {
    private val framer = EventFramer(EventBoundaries())
    private val events = ArrayDeque<ServerSentEvent>()

    /** Why [next] has returned null. */
    var endReason = "the event stream ended early"
        private set

    /** Waits for the next event; null is the end of the stream. */
    suspend fun next(): ServerSentEvent? {
        while (events.isEmpty()) {
            val part = nextPart()
            if (part is PlainEvent.BodyChunk) add(part.bytes)
            if (part is PlainEvent.Broken) endReason = part.reason
            if (framer.isOversized) endReason = "event too large"
            if (part !is PlainEvent.BodyChunk || framer.isOversized) return null
        }
        return events.removeFirst()
    }

    private fun add(bytes: ByteArray) {
        val whole = framer.add(Unpooled.wrappedBuffer(bytes)) ?: return
        val text = whole.toString(Charsets.UTF_8)
        whole.release()
        val fields = mutableListOf<String>()
        text.lineSequence().forEach { line ->
            if (line.isNotEmpty()) {
                fields += line
            } else {
                fields.toEvent()?.let(events::addLast)
                fields.clear()
            }
        }
    }

    /** The event with these fields, or null if they are comments or only set the time of a reconnection. */
    private fun List<String>.toEvent(): ServerSentEvent? {
        val values =
            filterNot { it.startsWith(':') }
                .groupBy({ it.substringBefore(':') }, { it.substringAfter(':', "").removePrefix(" ") })
        val event =
            ServerSentEvent(values["data"]?.joinToString("\n"), values["event"]?.last(), values["id"]?.last())
        return event.takeUnless { it.data == null && it.event == null && it.id == null }
    }
}
