/*
 * Framing of messages on a TCP connection: a 4-byte big-endian length and a CBOR-encoded message. The length is
 * checked before any memory is reserved, so that a hostile peer cannot make a process allocate more than one frame.
 */
package io.teaselspring.protocol

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Largest frame accepted, in bytes, without its length. */
public const val MAX_FRAME_BYTES: Int = 4 * 1024 * 1024

/** Thrown when a peer sends something that is not a message; the connection must be closed. */
public class ProtocolException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

@OptIn(ExperimentalSerializationApi::class)
private val cbor =
    Cbor {
        ignoreUnknownKeys = true
    }

/** The CBOR encoding of this message, without the length. */
@OptIn(ExperimentalSerializationApi::class)
public fun Message.encode(): ByteArray = cbor.encodeToByteArray<Message>(this)

/**
 * Decodes one frame.
 *
 * @throws ProtocolException if [bytes] is not exactly one known message.
 */
@OptIn(ExperimentalSerializationApi::class)
public fun decodeMessage(bytes: ByteArray): Message =
    try {
        cbor.decodeFromByteArray<Message>(bytes)
    } catch (e: RuntimeException) {
        // On truncated input the decoder throws IllegalStateException and IndexOutOfBoundsException as well as
        // SerializationException.
        throw ProtocolException("undecodable message of ${bytes.size} bytes", e)
    }

/** Writes [message] as one frame and flushes. */
public suspend fun ByteWriteChannel.writeMessage(message: Message) {
    val bytes = message.encode()
    require(bytes.size <= MAX_FRAME_BYTES) { "message of ${bytes.size} bytes exceeds $MAX_FRAME_BYTES" }
    writeInt(bytes.size)
    writeFully(bytes)
    flush()
}

/** Writes [frame], an encoded message, with its length and without flushing. */
public suspend fun ByteWriteChannel.writeFrame(frame: ByteArray) {
    require(frame.size <= MAX_FRAME_BYTES) { "message of ${frame.size} bytes exceeds $MAX_FRAME_BYTES" }
    writeInt(frame.size)
    writeFully(frame)
}

/**
 * Reads one frame of at most [maxBytes].
 *
 * @throws ProtocolException if the length is out of range or the content is not a message.
 * @throws java.io.IOException if the connection ends, between frames or within one.
 */
public suspend fun ByteReadChannel.readMessage(maxBytes: Int = MAX_FRAME_BYTES): Message {
    val lengthBytes = readInt()
    if (lengthBytes !in 1..maxBytes) throw ProtocolException("frame length $lengthBytes outside 1..$maxBytes")
    return decodeMessage(readByteArray(lengthBytes))
}
