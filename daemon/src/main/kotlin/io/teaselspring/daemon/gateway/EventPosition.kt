/*
 * Position in a stream of server-sent events. Another instance continues the stream with the event after the last id,
 * which is the next event only if no event without an id has followed.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf

/** The position after the events that were forwarded. */
internal class EventPosition {
    /** Id of the last event that has one, null before it. */
    var lastEventId: String? = null
        private set

    /** Whether the next event is the one after [lastEventId]. */
    var isKnown = true
        private set

    /** Moves the position behind [events], which are whole. */
    fun advance(events: ByteBuf) {
        val event = EventFields()
        events.toString(Charsets.ISO_8859_1).lineSequence().forEach { line ->
            if (line.isEmpty()) {
                record(event)
                event.clear()
            } else {
                event.add(line)
            }
        }
    }

    private fun record(event: EventFields) {
        val id = event.id
        if (!id.isNullOrEmpty()) {
            lastEventId = id
            isKnown = true
        } else if (event.hasData) {
            isKnown = false
        }
    }
}

/** The fields of one event that concern its position. */
private class EventFields {
    var id: String? = null
        private set

    /** An event without data is not dispatched by its receiver. */
    var hasData = false
        private set

    fun add(line: String) {
        when (line.substringBefore(':')) {
            "id" -> id = line.substringAfter(':', "").trim()
            "data" -> hasData = true
        }
    }

    fun clear() {
        id = null
        hasData = false
    }
}
