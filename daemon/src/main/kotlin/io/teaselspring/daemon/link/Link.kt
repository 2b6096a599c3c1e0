/*
 * One authenticated connection between two processes of the system. Messages of many requests share it, so a sender
 * is never allowed to queue more than a bounded number of bytes: `send` waits for room, `offer` closes the link
 * instead.
 */
package io.teaselspring.daemon.link

import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.teaselspring.protocol.MAX_FRAME_BYTES
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.ProtocolException
import io.teaselspring.protocol.encode
import io.teaselspring.protocol.readMessage
import io.teaselspring.protocol.writeFrame
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.consumeAsFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long a closing link waits for the last bytes to be handed to the system. */
private val FLUSH_LIMIT = 500.milliseconds

/**
 * Limits of a link. [queueBytes] bounds what waits to be written; a peer that takes nothing for [stall] while the queue
 * is full, or sends nothing for [idle], loses the link.
 */
data class LinkLimits(
    val handshake: Duration = 5.seconds,
    val keepAlive: Duration = 3.seconds,
    val idle: Duration = 10.seconds,
    val stall: Duration = 10.seconds,
    val queueBytes: Long = 2L * MAX_FRAME_BYTES,
    val incomingMessages: Int = 64,
)

/** An open link to [peer]. All functions may be called from any coroutine. */
class Link internal constructor(
    val peer: Message.Hello,
    private val limits: LinkLimits,
) {
    private val outgoing = Channel<ByteArray>(Channel.UNLIMITED)
    private val received = Channel<Message>(limits.incomingMessages)
    private val queuedBytes = MutableStateFlow(0L)
    private val closing = CompletableDeferred<String>()

    @Volatile
    private var hasWritten = false

    /** Messages of the peer in order, those of the handshake excluded. Ends when the link closes; collected once. */
    val incoming: Flow<Message> = received.consumeAsFlow()

    /** True until the link closes. */
    val isOpen: Boolean get() = !closing.isCompleted

    /**
     * Queues [message], after waiting for room if the peer is slow. Returns false if the link is closed, also when it
     * closes because the peer took nothing for the stall limit; the message was then not queued.
     */
    suspend fun send(message: Message): Boolean {
        val frame = message.encode()
        val reserved = withTimeoutOrNull(limits.stall) { reserve(frame.size) }
        if (reserved == null) close("the peer takes no data")
        return reserved == true && enqueue(frame)
    }

    /** Queues [message] without waiting; closes the link and returns false if the queue is full. */
    fun offer(message: Message): Boolean {
        val frame = message.encode()
        // Beyond the limit of `send`, so that control messages pass while streams wait for room.
        val fits = queuedBytes.value < 2 * limits.queueBytes
        if (!fits) close("outgoing queue is full")
        return fits && isOpen && enqueue(frame.also { queuedBytes.update { bytes -> bytes + it.size } })
    }

    /** Closes the link; queued messages are dropped. */
    fun close(reason: String = "closed here") {
        if (!closing.complete(reason)) return
        outgoing.close()
        // Wakes senders that wait for room.
        queuedBytes.update { 0 }
    }

    /** Closes the link once what is queued has been written, at most after the stall limit. */
    suspend fun closeAfterSending() {
        withTimeoutOrNull(limits.stall) { queuedBytes.first { it == 0L } }
        close()
    }

    /** Waits until the link closes and returns the reason. */
    suspend fun awaitClose(): String = closing.await()

    private suspend fun reserve(sizeBytes: Int): Boolean {
        while (isOpen) {
            val bytes = queuedBytes.first { it < limits.queueBytes }
            if (queuedBytes.compareAndSet(bytes, bytes + sizeBytes)) return true
        }
        return false
    }

    private fun enqueue(frame: ByteArray): Boolean = outgoing.trySend(frame).isSuccess

    /** Moves messages until the link closes, then closes [socket]. [versions] gives the content of keep-alives. */
    internal suspend fun run(
        socket: Socket,
        input: ByteReadChannel,
        output: ByteWriteChannel,
        versions: () -> Message.Versions,
    ) {
        try {
            coroutineScope {
                launchClosing { read(input) }
                launchClosing { write(output) }
                launchClosing { keepAlive(versions) }
                closing.await()
                coroutineContext.cancelChildren()
            }
        } finally {
            close("cancelled")
            received.close()
            // Only after the writer has ended: closing the channel under a suspended writer throws.
            withContext(NonCancellable) { withTimeoutOrNull(FLUSH_LIMIT) { runCatching { output.flushAndClose() } } }
            output.cancel(IOException("link closed"))
            socket.close()
        }
    }

    private fun CoroutineScope.launchClosing(block: suspend () -> Unit) =
        launch {
            try {
                block()
            } catch (e: ProtocolException) {
                close("protocol error: ${e.message}")
            } catch (e: IOException) {
                close("connection lost: ${e.message ?: e::class.simpleName}")
            }
        }

    private suspend fun read(input: ByteReadChannel) {
        while (true) {
            val message = withTimeoutOrNull(limits.idle) { input.readMessage() }
            when (message) {
                null -> return close("nothing received for ${limits.idle}")
                is Message.Hello, is Message.Proof -> throw ProtocolException("handshake message on an open link")
                else -> received.send(message)
            }
        }
    }

    private suspend fun write(output: ByteWriteChannel) {
        for (frame in outgoing) {
            output.writeFrame(frame)
            var writtenBytes = frame.size
            // One flush for all that waits, instead of one system call for each message.
            while (true) {
                val next = outgoing.tryReceive().getOrNull() ?: break
                output.writeFrame(next)
                writtenBytes += next.size
            }
            output.flush()
            hasWritten = true
            queuedBytes.update { maxOf(0, it - writtenBytes) }
        }
    }

    /** Sends a message when nothing was written for a whole interval; any message keeps the link alive. */
    private suspend fun keepAlive(versions: () -> Message.Versions) {
        while (true) {
            hasWritten = false
            delay(limits.keepAlive)
            if (!hasWritten) offer(versions())
        }
    }
}
