/*
 * Framing of server-sent events. Holds back the unfinished event at the end of a stream, so that a stream that breaks
 * within an event can resume on another instance after the last complete event.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** Splits a stream after complete events, which it records in [boundaries]. */
internal class EventFramer(
    private val boundaries: EventBoundaries,
) {
    private val partial = Unpooled.buffer()

    /** Length of the unfinished event. */
    val partialBytes: Int get() = partial.readableBytes()

    /** Whether the unfinished event is larger than any event may be. */
    val isOversized: Boolean get() = partialBytes > MAX_EVENT_BYTES

    /** Adds [piece], whose ownership stays with the caller; returns the events that are now complete, or null. */
    fun add(piece: ByteBuf): ByteBuf? {
        val start = partial.writerIndex()
        partial.writeBytes(piece, piece.readerIndex(), piece.readableBytes())
        val end = boundaries.add(partial, start, piece.readableBytes())
        if (end < 0) return null
        val whole = partial.readBytes(end - partial.readerIndex())
        partial.discardReadBytes()
        shrink()
        return whole
    }

    /** Drops the unfinished event. */
    fun dropPartial() {
        partial.clear()
        shrink()
    }

    /** Without it a stream keeps the memory of its largest event until its end. */
    private fun shrink() {
        if (partial.capacity() > MAX_IDLE_CAPACITY_BYTES) partial.capacity(partialBytes)
    }

    private companion object {
        const val MAX_EVENT_BYTES = 1024 * 1024
        const val MAX_IDLE_CAPACITY_BYTES = 16 * 1024
    }
}
