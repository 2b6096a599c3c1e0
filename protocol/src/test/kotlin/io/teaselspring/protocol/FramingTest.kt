package io.teaselspring.protocol

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.writeFully
import io.teaselspring.core.KeyId
import io.teaselspring.core.RequestId
import kotlin.random.Random

// Guards against frames that crash the reader or make it allocate without bound.
class FramingTest :
    FunSpec({
        test("messages survive a round trip through a channel") {
            val messages =
                listOf(
                    Message.Cancel(RequestId("r-1"), 2),
                    Message.Goodbye,
                    Message.KeysWithdrawn(listOf(KeyId("k1"), KeyId("k2"))),
                    Message.NotRun(RequestId("r-2"), 1, NotRunReason.QUEUE_FULL, 250),
                )
            val channel = ByteChannel(autoFlush = true)
            messages.forEach { channel.writeMessage(it) }
            messages.forEach { channel.readMessage() shouldBe it }
        }

        test("a length beyond the limit is refused before reading the frame") {
            val channel = ByteChannel(autoFlush = true)
            channel.writeFrameLength(MAX_FRAME_BYTES + 1)
            shouldThrow<ProtocolException> { channel.readMessage() }
        }

        test("random bytes end in a protocol exception or a message, never in another error") {
            checkAll(500, Arb.byteArray(Arb.int(0..200), Arb.byte())) { bytes ->
                runCatching { decodeMessage(bytes) }
                    .onFailure { if (it !is ProtocolException) throw it }
            }
        }

        // The decoder is recursive, and a process ends on an error that nobody catches.
        test("a message with a deeply nested value ends in a protocol exception or a message") {
            val goodbye = Message.Goodbye.encode()
            val name = byteArrayOf(0x61, 'z'.code.toByte())
            listOf(0x81, 0x9f, 0xa1, 0xbf, 0xc1).forEach { opening ->
                val nested = ByteArray(DEPTH) { opening.toByte() }
                val inside = goodbye.dropLast(2).toByteArray() + name + nested + byteArrayOf(1) + goodbye.takeLast(2)
                listOf(nested, inside).forEach { bytes ->
                    runCatching { decodeMessage(bytes) }
                        .onFailure { if (it !is ProtocolException) throw it }
                }
            }
        }

        test("a message with random changes ends in a protocol exception or a message") {
            val random = Random(1)
            val sound =
                listOf(
                    Message.Cancel(RequestId("r-1"), 2),
                    Message.KeysWithdrawn(listOf(KeyId("k1"), KeyId("k2"))),
                    Message.NotRun(RequestId("r-2"), 1, NotRunReason.QUEUE_FULL, 250),
                ).map { it.encode() }
            repeat(CHANGED_INPUTS) {
                val bytes = sound.random(random).copyOf()
                repeat(1 + random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
                runCatching { decodeMessage(bytes) }
                    .onFailure { if (it !is ProtocolException) throw it }
            }
        }
    })

private const val DEPTH = 200_000
private const val CHANGED_INPUTS = 5_000

private suspend fun ByteChannel.writeFrameLength(lengthBytes: Int) {
    val bytes =
        byteArrayOf(
            (lengthBytes shr 24).toByte(),
            (lengthBytes shr 16).toByte(),
            (lengthBytes shr 8).toByte(),
            lengthBytes.toByte(),
        )
    writeFully(bytes)
    flush()
}
