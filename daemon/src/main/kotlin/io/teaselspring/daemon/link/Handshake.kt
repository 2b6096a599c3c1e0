/*
 * Mutual authentication of a link by HMAC-SHA256 over a shared secret. Each proof covers the side that sends it, both
 * Hello messages and so both roles and both nonces: a recorded proof fails because the nonce differs, and a reflected
 * one fails because the side differs. The connecting side proves first, so a stranger who connects learns no proof.
 */
package io.teaselspring.daemon.link

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.PROTOCOL_VERSION
import io.teaselspring.protocol.ProtocolException
import io.teaselspring.protocol.readMessage
import io.teaselspring.protocol.writeMessage
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Length of a nonce, in bytes. */
const val NONCE_BYTES = 32

/** Largest frame accepted before the peer is authenticated, in bytes. */
internal const val MAX_HANDSHAKE_FRAME_BYTES = 16 * 1024

/** Which side of a connection a process is on. */
enum class LinkSide {
    CONNECTOR,
    LISTENER,
    ;

    /** The other side. */
    fun other(): LinkSide = if (this == CONNECTOR) LISTENER else CONNECTOR
}

/** Thrown when the peer cannot be authenticated or speaks another protocol version. */
class HandshakeException(
    message: String,
) : Exception(message)

/**
 * Runs the handshake and returns the peer's Hello.
 *
 * @throws HandshakeException if the version, the nonce or the proof of the peer is not acceptable.
 * @throws ProtocolException if the peer sends something else.
 * @throws java.io.IOException if the connection ends.
 */
internal suspend fun handshake(
    side: LinkSide,
    own: Message.Hello,
    secret: ByteArray,
    input: ByteReadChannel,
    output: ByteWriteChannel,
): Message.Hello {
    output.writeMessage(own)
    val peer = input.receive<Message.Hello>()
    unacceptable(peer, own)?.let { throw HandshakeException(it) }
    val ownProof = Message.Proof(proof(secret, side, own, peer))
    if (side == LinkSide.CONNECTOR) output.writeMessage(ownProof)
    val expected = proof(secret, side.other(), peer, own)
    if (!MessageDigest.isEqual(expected, input.receive<Message.Proof>().mac)) throw HandshakeException("invalid proof")
    if (side == LinkSide.LISTENER) output.writeMessage(ownProof)
    return peer
}

private fun unacceptable(
    peer: Message.Hello,
    own: Message.Hello,
): String? =
    when {
        peer.version != PROTOCOL_VERSION -> "protocol version ${peer.version}, allowed is $PROTOCOL_VERSION"
        peer.nonce.size != NONCE_BYTES -> "nonce of ${peer.nonce.size} bytes"
        peer.nonce.contentEquals(own.nonce) -> "own nonce reflected"
        else -> null
    }

/** The proof that the process on [side], which sent the Hello [prover], sends to the one that sent [verifier]. */
internal fun proof(
    secret: ByteArray,
    side: LinkSide,
    prover: Message.Hello,
    verifier: Message.Hello,
): ByteArray {
    val bytes = ByteArrayOutputStream()
    with(DataOutputStream(bytes)) {
        writeUTF("teaselspring link $PROTOCOL_VERSION")
        writeUTF(side.name)
        writeHello(prover)
        writeHello(verifier)
    }
    return Mac
        .getInstance("HmacSHA256")
        .apply { init(SecretKeySpec(secret, "HmacSHA256")) }
        .doFinal(bytes.toByteArray())
}

// Strings and arrays are written with their length, so that no two different pairs of Hellos give the same bytes.
private fun DataOutputStream.writeHello(hello: Message.Hello) {
    writeInt(hello.version)
    writeUTF(hello.instance.value)
    writeUTF(hello.incarnation.value)
    writeUTF(hello.role.name)
    writeUTF(hello.dataCentre.value)
    writeInt(hello.nonce.size)
    write(hello.nonce)
    writeBoolean(hello.upstream != null)
    writeUTF(hello.upstream?.value.orEmpty())
    writeInt(hello.models.size)
    hello.models.forEach { writeUTF(it.value) }
}

private suspend inline fun <reified T : Message> ByteReadChannel.receive(): T {
    val message = readMessage(MAX_HANDSHAKE_FRAME_BYTES)
    return message as? T
        ?: throw ProtocolException("${message::class.simpleName} instead of ${T::class.simpleName} in the handshake")
}
