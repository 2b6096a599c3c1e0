package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled

/** Last boundary, events and final state of [text] that arrives in pieces of [size] bytes. */
private fun follow(
    text: String,
    size: Int,
): Triple<Int, Long, Boolean> {
    val boundaries = EventBoundaries()
    var last = 0
    text.chunked(size).forEachIndexed { index, piece ->
        val boundary = boundaries.add(Unpooled.wrappedBuffer(piece.toByteArray()))
        if (boundary >= 0) last = index * size + boundary
    }
    return Triple(last, boundaries.completeEvents, boundaries.isInsideEvent)
}

// Guards against an event that counts as finished before its empty line, or as unfinished after it, whatever line ends
// the stream uses and wherever its pieces are split.
class EventBoundariesTest :
    FunSpec({
        val finished =
            listOf("data: a\n\n", "data: a\r\n\r\n", "data: a\r\r", "data: a\n\r\n", "data: a\r\n\n", "data: a\n\r")
        val nothing = listOf("", "\n", ": comment\n\n", ": comment\r\n")
        val unfinished = listOf("d", "data: a", "data: a\n", "data: a\r\n", "data: a\r", ": comm")

        (finished + nothing).forEach { text ->
            test("a stream of ${quoted(text)} does not end within an event") {
                (1..text.length + 1).forEach { size ->
                    withClue("pieces of $size bytes") {
                        follow(text, size) shouldBe Triple(text.length, if (text in finished) 1L else 0L, false)
                        follow("data: b\n\n$text", size).third shouldBe false
                    }
                }
            }
        }

        unfinished.forEach { text ->
            test("a stream that ends with ${quoted(text)} ends within an event or a line") {
                val stream = "id: 1\r\ndata: b\r\n\r\n$text"
                (1..stream.length + 1).forEach { size ->
                    withClue("pieces of $size bytes") {
                        follow(stream, size) shouldBe Triple(stream.length - text.length, 1L, true)
                    }
                }
            }
        }
    })

private fun quoted(text: String) = "\"${text.replace("\r", "\\r").replace("\n", "\\n")}\""
