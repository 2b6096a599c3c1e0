/*
 * Boundaries of server-sent events in a stream that arrives in pieces. An event ends with an empty line; a line ends
 * with LF, CR LF or CR. Only a few flags are kept for a stream, so each running stream can be followed.
 */
package io.teaselspring.daemon.gateway

import io.netty.buffer.ByteBuf

/** Finds the boundaries between the events of one stream. */
internal class EventBoundaries {
    private var isLineEmpty = true
    private var isComment = false
    private var hasFields = false
    private var isAfterCarriageReturn = false

    /** Number of events that have ended; a block that consists of comments only is no event. */
    var completeEvents = 0L
        private set

    /** Whether the stream so far ends within an event or a line. */
    val isInsideEvent: Boolean get() = hasFields || !isLineEmpty

    /**
     * Adds [length] bytes of [bytes] from [start] on. Returns the index after the last of them that is not inside an
     * event, or -1 if there is none.
     */
    fun add(
        bytes: ByteBuf,
        start: Int = bytes.readerIndex(),
        length: Int = bytes.readableBytes(),
    ): Int {
        var boundary = -1
        for (index in start until start + length) {
            val byte = bytes.getByte(index)
            val endsLine = byte == LINE_FEED || byte == CARRIAGE_RETURN
            val isSecondOfLineEnd = isAfterCarriageReturn && byte == LINE_FEED
            if (!endsLine) {
                continueLine(byte)
            } else if (!isSecondOfLineEnd) {
                endLine()
            }
            if (endsLine && !isInsideEvent) boundary = index + 1
            isAfterCarriageReturn = byte == CARRIAGE_RETURN
        }
        return boundary
    }

    /** Continues at a boundary, because the unfinished event is dropped and sent again in whole. */
    fun dropPartial() {
        isLineEmpty = true
        hasFields = false
        isAfterCarriageReturn = false
    }

    private fun continueLine(byte: Byte) {
        if (isLineEmpty) isComment = byte == COMMENT_START
        isLineEmpty = false
    }

    private fun endLine() {
        if (isLineEmpty) {
            if (hasFields) completeEvents += 1
            hasFields = false
        } else if (!isComment) {
            hasFields = true
        }
        isLineEmpty = true
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COMMENT_START = ':'.code.toByte()
    }
}
