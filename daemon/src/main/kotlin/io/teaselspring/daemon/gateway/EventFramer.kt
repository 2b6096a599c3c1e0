/*
 * Framing of server-sent events. Holds back the unfinished event at the end of a stream, so that a stream that breaks
 * within an event can resume on another instance after the last complete event.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** Splits a stream after complete events. [dropPartial] must be called at the end to release the buffer. */
internal class EventFramer {
    private var partial: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Id of the last complete event, null before the first. */
    var lastEventId: String? = null
        private set

    /** Whether bytes of an unfinished event are held back. */
    val hasPartial: Boolean get() = partial.isReadable

    /** Adds [piece], whose ownership stays with the caller; returns the events that are now complete, or null. */
    fun add(piece: ByteBuf): ByteBuf? {
        val all = Unpooled.buffer(partial.readableBytes() + piece.readableBytes()).writeBytes(partial).writeBytes(piece)
        partial.release()
        val end = endOfLastEvent(all)
        if (end < 0) {
            partial = all
            return null
        }
        val whole = all.readSlice(end - all.readerIndex())
        recordLastEventId(whole)
        partial = Unpooled.copiedBuffer(all)
        return whole
    }

    /** Drops the unfinished event. */
    fun dropPartial() {
        partial.release()
        partial = Unpooled.EMPTY_BUFFER
    }

    private fun endOfLastEvent(bytes: ByteBuf): Int {
        var at = bytes.writerIndex() - 1
        while (at > bytes.readerIndex()) {
            if (bytes.getByte(at) == NEWLINE && followsLineEnd(bytes, at - 1)) return at + 1
            at -= 1
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
        const val NEWLINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
