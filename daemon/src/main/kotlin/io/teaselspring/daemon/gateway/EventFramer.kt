/*
 * Framing of server-sent events. Holds back the unfinished event at the end of a stream, so that a stream that breaks
 * within an event can resume on another instance after the last complete event.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** Splits a stream after complete events. */
internal class EventFramer {
    private val partial = Unpooled.buffer()

    /** Id of the last complete event, null before the first. */
    var lastEventId: String? = null
        private set

    /** Whether the unfinished event is larger than any event may be. */
    val isOversized: Boolean get() = partial.readableBytes() > MAX_EVENT_BYTES

    /** Whether bytes of an unfinished event are held back. */
    val hasPartial: Boolean get() = partial.isReadable

    /** Adds [piece], whose ownership stays with the caller; returns the events that are now complete, or null. */
    fun add(piece: ByteBuf): ByteBuf? {
        val searchedTo = partial.writerIndex()
        partial.writeBytes(piece, piece.readerIndex(), piece.readableBytes())
        val end = endOfLastEvent(searchedTo)
        if (end < 0) return null
        val whole = partial.readBytes(end)
        partial.discardReadBytes()
        recordLastEventId(whole)
        return whole
    }

    /** Drops the unfinished event. */
    fun dropPartial() {
        partial.clear()
    }

    /** The index after the last event that ends at [from] or later, or -1. */
    private fun endOfLastEvent(from: Int): Int {
        for (at in partial.writerIndex() - 1 downTo maxOf(1, from)) {
            if (partial.getByte(at) == NEWLINE && followsLineEnd(partial, at - 1)) return at + 1
        }
        return -1
    }

    /** Whether the line before the line end at [at] + 1 is empty. */
    private fun followsLineEnd(
        bytes: ByteBuf,
        at: Int,
    ): Boolean {
        val before = if (bytes.getByte(at) == CARRIAGE_RETURN) at - 1 else at
        return before >= bytes.readerIndex() && bytes.getByte(before) == NEWLINE
    }

    private fun recordLastEventId(events: ByteBuf) {
        events
            .toString(Charsets.ISO_8859_1)
            .lineSequence()
            .lastOrNull { it.startsWith(ID_FIELD) }
            ?.let { lastEventId = it.removePrefix(ID_FIELD).trim() }
    }

    private companion object {
        const val MAX_EVENT_BYTES = 1024 * 1024
        const val NEWLINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
