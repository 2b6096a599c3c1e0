/*
 * Recognises the head of another response among the bytes of a response. A body may rightly quote responses, so a head
 * counts only if it states an id that the server has got on this connection, where bodies may quote at all.
 */
package io.teaselspring.daemon.http

import io.netty.buffer.ByteBuf

/** What the bytes from some position on are. */
internal enum class HeadMatch {
    NONE,

    /** The first line of a response, followed by what proves nothing about its origin. */
    STATUS_LINE,

    /** The start of a head, of which too little has arrived. */
    PARTIAL,
    HEAD,
}

/**
 * What proves that a head inside a response is not quoted: its header [idHeader] states an id for which [isOwnId] is
 * true. With [isAnonymousProof] a head without such an id proves it too, because bodies of this kind don't quote heads.
 */
internal class HeadProof(
    val idHeader: String?,
    val isOwnId: (String) -> Boolean,
    val isAnonymousProof: Boolean,
)

/** Matches the bytes of [bytes] from [start] on with the head of a response. */
internal fun matchHead(
    bytes: ByteBuf,
    start: Int,
    proof: HeadProof,
): HeadMatch =
    when {
        !mayBeStatusLine(bytes, start) -> HeadMatch.NONE
        start + STATUS_LINE_START.length > bytes.writerIndex() -> HeadMatch.PARTIAL
        else -> matchLines(bytes.toString(start, bytes.writerIndex() - start, Charsets.ISO_8859_1), proof)
    }

/** Matches [bytes] with the head of a response by its whole lines, as if no header followed. */
internal fun matchWholeLines(
    bytes: ByteBuf,
    proof: HeadProof,
): HeadMatch {
    if (bytes.readableBytes() < STATUS_LINE_START.length) return HeadMatch.NONE
    return matchLines(bytes.toString(Charsets.ISO_8859_1).substringBeforeLast('\n') + "\n\n", proof)
}

private fun matchLines(
    text: String,
    proof: HeadProof,
): HeadMatch {
    val lines = text.split('\n')
    // The first line is that of the status, the last one has not ended yet.
    lines.drop(1).dropLast(1).forEachIndexed { headersBefore, line ->
        matchLine(line.removeSuffix("\r"), headersBefore, proof)?.let { return it }
    }
    val mayContinue = text.length <= MAX_HEAD_BYTES && (lines.size == 1 || HEADER_START.matches(lines.last()))
    return if (mayContinue) HeadMatch.PARTIAL else HeadMatch.STATUS_LINE
}

/** What [line] after the line of a status and [headersBefore] headers shows, or null if the next one decides. */
private fun matchLine(
    line: String,
    headersBefore: Int,
    proof: HeadProof,
): HeadMatch? {
    val name = line.substringBefore(':').trim()
    return when {
        line.isEmpty() -> if (headersBefore > 0 && proof.isAnonymousProof) HeadMatch.HEAD else HeadMatch.STATUS_LINE
        !HEADER_LINE.matches(line) || name.lowercase() in EVENT_FIELDS -> HeadMatch.STATUS_LINE
        name.equals(proof.idHeader, ignoreCase = true) && proof.isOwnId(line.substringAfter(':').trim()) ->
            HeadMatch.HEAD
        else -> null
    }
}

/** Whether the bytes of [bytes] from [start] on are the start of a status line, as far as they have arrived. */
internal fun mayBeStatusLine(
    bytes: ByteBuf,
    start: Int,
): Boolean {
    STATUS_LINE_START.forEachIndexed { offset, expected ->
        if (start + offset >= bytes.writerIndex()) return true
        val char = bytes.getByte(start + offset).toInt().toChar()
        if (if (expected == DIGIT) char !in '0'..'9' else char != expected) return false
    }
    return true
}

private const val DIGIT = '#'
private const val STATUS_LINE_START = "HTTP/1.# ###"
private const val TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
private val HEADER_LINE = Regex("$TOKEN[ \t]*:.*")
private val HEADER_START = Regex("\r?|$TOKEN([ \t]*(:.*)?)?")

/** Fields of server-sent events look like headers: a quoted status line in a stream is followed by one. */
private val EVENT_FIELDS = setOf("data", "event", "id", "retry")

/** A head that is longer is refused where it stands at its own place. */
private const val MAX_HEAD_BYTES = 64 * 1024
