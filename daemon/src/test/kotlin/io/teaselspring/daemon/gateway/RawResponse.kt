/*
 * Test fixture: responses as the bytes of an instance that may break them off anywhere, and as a caller reads them.
 */
package io.teaselspring.daemon.gateway

/** How the end of a raw body is marked. */
internal enum class RawFraming { LENGTH, CHUNKS, UNTIL_CLOSE }

/** A response that an instance may write in part. The chunks of a body in chunks are its lines. */
internal data class RawResponse(
    val name: String,
    val status: String,
    val body: String,
    val framing: RawFraming = RawFraming.LENGTH,
    val extra: String = "",
    val echoesId: Boolean = true,
    val type: String = "text/event-stream",
) {
    val isRefusal: Boolean get() = "X-Not-Run" in extra

    /** The length of the head, with the empty line that ends it. */
    val headLength: Int get() = String(bytes("r0")).indexOf("\r\n\r\n") + 4

    /** The bytes of the response to the request with [id]. */
    fun bytes(id: String?): ByteArray {
        val echo = id.takeIf { echoesId }?.let { "X-Request-Id: $it\r\n" }.orEmpty()
        val fields = "Content-Type: $type\r\nServer: scripted\r\n${echo}X-Signature: s-$name\r\n$extra"
        val head = "HTTP/1.1 $status\r\n$fields"
        return when (framing) {
            RawFraming.LENGTH -> "${head}Content-Length: ${body.length}\r\n\r\n$body"
            RawFraming.CHUNKS -> "${head}Transfer-Encoding: chunked\r\n\r\n${chunks()}0\r\n\r\n"
            RawFraming.UNTIL_CLOSE -> "$head\r\n$body"
        }.toByteArray()
    }

    private fun chunks() =
        body.split(Regex("(?<=\n)")).filter { it.isNotEmpty() }.joinToString("") {
            "${it.length.toString(16)}\r\n$it\r\n"
        }
}

/** A response as its caller reads it until the connection ends. */
internal class ReceivedResponse(
    val text: String,
) {
    private val headLines = text.substringBefore("\r\n\r\n").split("\r\n")
    private val rest = text.substringAfter("\r\n\r\n", "")
    private val isChunked = headLines.any { it.equals("Transfer-Encoding: chunked", ignoreCase = true) }

    /** The status line without the version. */
    val status: String = headLines.first().removePrefix("HTTP/1.1 ")

    /** The data of the body as far as it has arrived. */
    val body: String = if (isChunked) rest.dataOfChunks() else rest

    /** Whether the body's framing says that it is complete. */
    val isComplete: Boolean =
        if (isChunked) rest.endsWith("0\r\n\r\n") else header("Content-Length")?.toInt() == body.length

    val isOfInstance: Boolean get() = header("X-Signature") != null

    /** Whether every header line has a name that is a token and a colon. */
    val hasSoundHeaders: Boolean = headLines.drop(1).all { HEADER_LINE.matches(it) }

    fun header(name: String): String? =
        headLines.firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()

    private fun String.dataOfChunks(): String {
        val data = StringBuilder()
        var at = 0
        while (true) {
            val lineEnd = indexOf("\r\n", at)
            val size = if (lineEnd < 0) 0 else substring(at, lineEnd).toInt(16)
            if (size == 0) return data.toString()
            data.append(substring(lineEnd + 2, minOf(length, lineEnd + 2 + size)))
            at = minOf(length, lineEnd + 2 + size + 2)
        }
    }

    private companion object {
        val HEADER_LINE = Regex("[!#$%&'*+.^_`|~0-9A-Za-z-]+: ?[^\r\n\u0000]*")
    }
}
