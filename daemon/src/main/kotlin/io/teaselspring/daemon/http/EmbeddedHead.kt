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
 * true, and its first line is not [isInRequest]. With [isAnonymousProof] a head without such an id proves it too,
 * because bodies of this kind don't quote heads. Unless [mayEndInStatusLine], no whole body ends with the start of a
 * status line, as events end with a line break, and JSON with a bracket, quote, digit or literal.
 */
internal class HeadProof(
    val idHeader: String?,
    val isOwnId: (String) -> Boolean,
    val isInRequest: (statusLine: String) -> Boolean,
    val isAnonymousProof: Boolean,
    val mayEndInStatusLine: Boolean,
)

/** Matches the bytes of [bytes] from [start] on with the head of a response, line by line. */
internal fun matchHead(
    bytes: ByteBuf,
    start: Int,
    proof: HeadProof,
): HeadMatch {
    if (!mayBeStatusLine(bytes, start)) return HeadMatch.NONE
    var match: HeadMatch? = null
    var statusLine: String? = null
    var headers = 0
    var at = start
    while (match == null) {
        val lineEnd = bytes.indexOf(at, bytes.writerIndex(), LINE_FEED)
        val line = bytes.text(at, if (lineEnd < 0) bytes.writerIndex() else lineEnd)
        val first = statusLine
        when {
            lineEnd < 0 -> match = matchUnfinished(line, isFirst = first == null, bytes.writerIndex() - start)
            first == null -> statusLine = line.removeSuffix("\r")
            else -> match = matchLine(line.removeSuffix("\r"), first, headers++, proof)
        }
        at = lineEnd + 1
    }
    return match
}

/** What the start of a line shows, of which too little has arrived; the head has [length] bytes so far. */
private fun matchUnfinished(
    line: String,
    isFirst: Boolean,
    length: Int,
): HeadMatch {
    val mayContinue = length <= MAX_HEAD_BYTES && (isFirst || HEADER_START.matches(line))
    return if (mayContinue) HeadMatch.PARTIAL else HeadMatch.STATUS_LINE
}

/** What [line] after [statusLine] and [headersBefore] headers shows, or null if the next one decides. */
private fun matchLine(
    line: String,
    statusLine: String,
    headersBefore: Int,
    proof: HeadProof,
): HeadMatch? {
    val name = line.substringBefore(':').trim()
    val isFolded = headersBefore > 0 && (line.startsWith(' ') || line.startsWith('\t')) && line.isNotBlank()
    return when {
        line.isEmpty() -> if (headersBefore > 0 && proof.isAnonymousProof) HeadMatch.HEAD else HeadMatch.STATUS_LINE
        isFolded -> null
        !HEADER_LINE.matches(line) || name in EVENT_FIELDS -> HeadMatch.STATUS_LINE
        name.equals(proof.idHeader, ignoreCase = true) && proof.isOwnId(line.substringAfter(':').trim()) ->
            if (proof.isInRequest(statusLine)) HeadMatch.STATUS_LINE else HeadMatch.HEAD
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

private fun ByteBuf.text(
    start: Int,
    end: Int,
) = toString(start, minOf(end - start, MAX_HEAD_BYTES), Charsets.ISO_8859_1)

private const val DIGIT = '#'
private const val STATUS_LINE_START = "HTTP/1.# ###"

/** As many bytes as show that a line is one of a status. */
internal const val STATUS_LINE_START_BYTES = STATUS_LINE_START.length
private const val LINE_FEED = '\n'.code.toByte()
private const val TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
private val HEADER_LINE = Regex("$TOKEN[ \t]*:[^\n]*")
private val HEADER_START = Regex("\r?|[ \t][^\n]*|$TOKEN([ \t]*(:[^\n]*)?)?")

/** Fields of server-sent events look like headers: a quoted status line in a stream is followed by one. */
private val EVENT_FIELDS = setOf("data", "event", "id", "retry")

/** A head that is longer is refused where it stands at its own place. */
private const val MAX_HEAD_BYTES = 64 * 1024
