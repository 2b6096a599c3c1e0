/*
 * Position in a stream of server-sent events. Another instance continues the stream with the event after the last id,
 * which is the next event only if no event without an id has followed. Ids increase over a stream, so an event whose id
 * does not is a repeated one, or belongs to a run that began elsewhere.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf

/** The position after the events that were forwarded; the caller has those up to the id [resumedAfter] already. */
internal class EventPosition(
    resumedAfter: String?,
) {
    private var newestId = resumedAfter

    /** Id of the last forwarded event that has one, null before it. */
    var lastEventId: String? = null
        private set

    /** Whether the next event is the one after [lastEventId]. */
    var isKnown = true
        private set

    /**
     * Moves the position behind [events], which are whole, up to the first one that does not follow. Returns the number
     * of bytes before that one, or of all.
     */
    fun advance(events: ByteBuf): Int {
        val text = events.toString(Charsets.ISO_8859_1)
        val event = EventFields()
        var accepted = 0
        var start = 0
        while (start < text.length) {
            val end = text.indexOfAny(LINE_ENDS, start).let { if (it < 0) text.length else it }
            val next = minOf(text.length, if (text.startsWith("\r\n", end)) end + 2 else end + 1)
            if (end > start) {
                event.add(text.substring(start, end))
            } else {
                if (!follows(event.id)) return accepted
                record(event)
                event.clear()
                accepted = next
            }
            start = next
        }
        return text.length
    }

    /** Ids that are no numbers are only compared for being the same. */
    private fun follows(id: String?): Boolean {
        val newest = newestId
        if (id.isNullOrEmpty() || newest == null) return true
        val number = id.toLongOrNull()
        val newestNumber = newest.toLongOrNull()
        return if (number != null && newestNumber != null) number > newestNumber else id != newest
    }

    private fun record(event: EventFields) {
        val id = event.id
        if (!id.isNullOrEmpty()) {
            newestId = id
            lastEventId = id
            isKnown = true
        } else if (event.hasData) {
            isKnown = false
        }
    }

    private companion object {
        val LINE_ENDS = charArrayOf('\n', '\r')
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
