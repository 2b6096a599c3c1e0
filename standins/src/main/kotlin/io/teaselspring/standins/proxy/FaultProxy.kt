/*
 * A TCP proxy with faults. A dropped direction behaves as a partition does to TCP: nothing passes, neither bytes
 * nor the end of the stream, and what was sent meanwhile arrives when the fault ends, unless the connection was
 * cut. So no receiver ever sees a stream with a hole in it.
 */
package io.teaselspring.standins.proxy

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.isActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.slf4j.LoggerFactory
import java.io.IOException
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val log = LoggerFactory.getLogger("proxy")

private const val CHUNK_BYTES = 16 * 1024

/** What may be under way in one direction of a connection while it is delayed or dropped; the sender waits then. */
private const val BYTES_UNDER_WAY = 256 * 1024

/** Faults in force; each `POST /faults` replaces all of them. */
@Serializable
internal data class ProxyFaults(
    @SerialName("delay_ms") val delayMs: Long = 0,
    val cut: Boolean = false,
    @SerialName("drop_client_to_server") val dropClientToServer: Boolean = false,
    @SerialName("drop_server_to_client") val dropServerToClient: Boolean = false,
    val hold: Boolean = false,
)

/** The order in which held connections go on. */
@Serializable
internal enum class ReleaseOrder {
    @SerialName("fifo")
    FIFO,

    @SerialName("reverse")
    REVERSE,
}

/** Where new connections go. */
internal data class Target(
    val host: String,
    val port: Int,
)

/** The target written as `host:port`, or null. */
internal fun targetOf(text: String): Target? {
    val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..65_535 } ?: return null
    val host = text.substringBeforeLast(':').takeIf { it.isNotEmpty() } ?: return null
    return Target(host, port)
}

private class Chunk(
    val due: ComparableTimeMark,
    val bytes: ByteArray,
)

/** Relays connections until [scope] ends. */
internal class FaultProxy(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val timeSource: TimeSource.WithComparableMarks,
    @Volatile var target: Target,
) {
    private val connections = scope + SupervisorJob(scope.coroutineContext.job)
    private val mutex = Mutex()
    private val held = mutableListOf<Socket>()
    private val running = mutableMapOf<Job, Socket>()
    private val faults = MutableStateFlow(ProxyFaults())

    /** Starts to accept connections on [server]. */
    fun serve(server: ServerSocket): Job =
        scope.launch {
            while (isActive) accepted(server.accept())
        }

    private suspend fun accepted(client: Socket) {
        mutex.withLock {
            if (faults.value.cut) {
                client.close()
            } else if (faults.value.hold) {
                held += client
            } else {
                start(client)
            }
        }
    }

    /** Sets [faults], for running connections as well. A cut closes them, and the end of a hold releases in order. */
    suspend fun set(faults: ProxyFaults) =
        mutex.withLock {
            this.faults.value = faults
            if (faults.cut) {
                (running.values + held).forEach { it.close() }
                running.keys.forEach { it.cancel() }
                held.clear()
            }
            if (!faults.hold) releaseHeld(ReleaseOrder.FIFO)
        }

    /** Lets the connections held so far go on, one after the other, and returns their number. */
    suspend fun release(order: ReleaseOrder): Int = mutex.withLock { releaseHeld(order) }

    /** The numbers of connections held and running. */
    suspend fun connections(): Pair<Int, Int> = mutex.withLock { held.size to running.size }

    private fun releaseHeld(order: ReleaseOrder): Int {
        val released = if (order == ReleaseOrder.REVERSE) held.reversed() else held.toList()
        held.clear()
        released.fold(null as Job?) { before, client -> start(client, before) }
        return released.size
    }

    /** Connects [client] to the target once [before] is complete, and returns what is complete when it is connected. */
    private fun start(
        client: Socket,
        before: Job? = null,
    ): Job {
        val connected = Job()
        val job =
            connections.launch(start = CoroutineStart.LAZY) {
                before?.join()
                try {
                    connect().use { server ->
                        connected.complete()
                        relay(client, server)
                    }
                } catch (e: IOException) {
                    log.info("event=connection_failed target={}:{} error={}", target.host, target.port, e.message)
                }
            }
        running[job] = client
        job.invokeOnCompletion {
            connected.complete()
            client.close()
            scope.launch { mutex.withLock { running.remove(job) } }
        }
        job.start()
        return connected
    }

    private suspend fun connect(): Socket =
        aSocket(selector).tcp().connect(InetSocketAddress(target.host, target.port)) { noDelay = true }

    private suspend fun relay(
        client: Socket,
        server: Socket,
    ) = coroutineScope {
        val (fromClient, toClient) = client.openReadChannel() to client.openWriteChannel()
        val (fromServer, toServer) = server.openReadChannel() to server.openWriteChannel()
        launch { direction(fromClient, toServer) { it.dropClientToServer } }
        launch { direction(fromServer, toClient) { it.dropServerToClient } }
    }

    /** Passes [from] on to [to] until its end, which is passed on as well. */
    private suspend fun direction(
        from: ByteReadChannel,
        to: ByteWriteChannel,
        dropped: (ProxyFaults) -> Boolean,
    ) = coroutineScope {
        val chunks = Channel<Chunk>(Channel.UNLIMITED)
        val underWay = MutableStateFlow(0)
        val reader = launch { read(from, chunks, underWay) }
        try {
            write(chunks, to, underWay, dropped)
        } catch (e: IOException) {
            log.info("event=write_failed error={}", e.message)
        } finally {
            reader.cancel()
        }
    }

    private suspend fun read(
        from: ByteReadChannel,
        chunks: Channel<Chunk>,
        underWay: MutableStateFlow<Int>,
    ) {
        val buffer = ByteArray(CHUNK_BYTES)
        try {
            while (true) {
                underWay.first { it < BYTES_UNDER_WAY }
                val count = from.readAvailable(buffer)
                if (count < 0) break
                underWay.update { it + count }
                chunks.send(Chunk(timeSource.markNow() + faults.value.delayMs.milliseconds, buffer.copyOf(count)))
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            // A reset is passed on like an end of the stream.
            log.info("event=read_failed error={}", e.message)
        }
        chunks.close()
    }

    private suspend fun write(
        chunks: ReceiveChannel<Chunk>,
        to: ByteWriteChannel,
        underWay: MutableStateFlow<Int>,
        dropped: (ProxyFaults) -> Boolean,
    ) {
        for (chunk in chunks) {
            delay(chunk.due - timeSource.markNow())
            faults.first { !dropped(it) }
            to.writeFully(chunk.bytes)
            to.flush()
            underWay.update { it - chunk.bytes.size }
        }
        faults.first { !dropped(it) }
        to.flushAndClose()
    }
}
