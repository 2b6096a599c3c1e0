/*
 * Checks the field lines of heads and trailers as they stand on the wire. The decoder removes blanks before a colon and
 * joins a line that begins with a blank to the value before it, as RFC 9112 (sections 5.1 and 5.2) allows for
 * responses. Such a line is refused here: it moves a length, a signature or an id to where the server did not state
 * it, and a server that writes one may as well have lost bytes.
 */
package io.teaselspring.daemon.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/** Follows which bytes of a response are field lines. It relies on a decoder that consumes whole lines only. */
internal class FieldLineCheck {
    private enum class Section { STATUS_LINE, FIELDS, BODY, CHUNKS, TRAILERS }

    private var section = Section.STATUS_LINE

    /**
     * Whether no line of a head or trailers between [start] and the reader index of [bytes], from which [decoded] was
     * read, is malformed.
     */
    fun accepts(
        bytes: ByteBuf,
        start: Int,
        decoded: List<Any>,
    ): Boolean {
        val end = bytes.readerIndex()
        var from = start
        if (section == Section.STATUS_LINE) {
            from = bytes.skipBlank(start, end)
            if (from < end) {
                from = bytes.indexOf(from, end, LINE_FEED) + 1
                section = Section.FIELDS
            }
        }
        val hasLines = section == Section.FIELDS || section == Section.TRAILERS
        val isSound = !hasLines || bytes.hasOnlyFieldLines(from, end)
        section = sectionAfter(decoded, isLastChunk = decoded.isEmpty() && bytes.isLastChunk(start, end))
        return isSound
    }

    private fun sectionAfter(
        decoded: List<Any>,
        isLastChunk: Boolean,
    ): Section {
        val head = decoded.firstOrNull() as? HttpResponse
        return when {
            decoded.lastOrNull() is LastHttpContent -> Section.STATUS_LINE
            head != null -> if (HttpUtil.isTransferEncodingChunked(head)) Section.CHUNKS else Section.BODY
            section == Section.CHUNKS && isLastChunk -> Section.TRAILERS
            else -> section
        }
    }
}

/** The position of the first byte that the decoder does not skip before a line. */
private fun ByteBuf.skipBlank(
    start: Int,
    end: Int,
): Int = forEachByte(start, end - start) { it in 0..SPACE || it == DELETE }.let { if (it < 0) end else it }

/** Whether a line with the size of a chunk is that of the last one, of no bytes. */
private fun ByteBuf.isLastChunk(
    start: Int,
    end: Int,
): Boolean {
    val size = skipBlank(start, end)
    val afterZeros = forEachByte(size, end - size) { it == ZERO }
    return afterZeros > size && getByte(afterZeros).toInt().toChar().digitToIntOrNull(16) == null
}

/** Whether each line between [start] and [end] is a field line, or empty. */
private fun ByteBuf.hasOnlyFieldLines(
    start: Int,
    end: Int,
): Boolean {
    var lineStart = start
    while (lineStart < end) {
        val lineFeed = indexOf(lineStart, end, LINE_FEED)
        if (lineFeed < 0) break
        if (!isEmptyLine(lineStart, lineFeed) && !isFieldLine(lineStart, lineFeed)) return false
        lineStart = lineFeed + 1
    }
    return true
}

private fun ByteBuf.isEmptyLine(
    start: Int,
    lineFeed: Int,
) = start == lineFeed || start + 1 == lineFeed && getByte(start) == CARRIAGE_RETURN

/** Whether the line is a name that is a token, a colon and a value. */
private fun ByteBuf.isFieldLine(
    start: Int,
    lineFeed: Int,
): Boolean {
    val colon = indexOf(start, lineFeed, COLON)
    return colon > start && forEachByte(start, colon - start, ::isTokenByte) < 0
}

private fun isTokenByte(byte: Byte): Boolean = byte.toInt().toChar() in TOKEN_CHARS

private val TOKEN_CHARS = (('0'..'9') + ('A'..'Z') + ('a'..'z') + "!#$%&'*+-.^_`|~".toList()).toSet()
private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val COLON = ':'.code.toByte()
private const val ZERO = '0'.code.toByte()
private const val SPACE = ' '.code.toByte()
private const val DELETE = 0x7f.toByte()
