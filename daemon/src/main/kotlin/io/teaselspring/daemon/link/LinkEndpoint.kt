/*
 * The two ways in which a link comes about: a listener that accepts them, and a connector that keeps one open and
 * reconnects with jittered exponential backoff.
 */
package io.teaselspring.daemon.link

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.teaselspring.core.DataCentre
import io.teaselspring.core.Incarnation
import io.teaselspring.core.InstanceId
import io.teaselspring.core.ModelName
import io.teaselspring.core.UpstreamName
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.PROTOCOL_VERSION
import io.teaselspring.protocol.Role
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException
import java.security.SecureRandom
import java.util.concurrent.Semaphore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.link")

/** Handshakes that a listener runs at the same time; further connections are closed at once. */
private const val MAX_HANDSHAKES = 128

private val ACCEPT_PAUSE = 100.milliseconds

/** What a process says about itself on its links. */
data class LinkIdentity(
    val instance: InstanceId,
    val incarnation: Incarnation,
    val role: Role,
    val dataCentre: DataCentre,
    val upstream: UpstreamName? = null,
    val models: List<ModelName> = emptyList(),
)

/**
 * What all links of a process share. [versions] gives the content of the keep-alive messages. [secret] is the shared
 * secret of all processes of the system.
 */
class LinkContext(
    val identity: LinkIdentity,
    val secret: ByteArray,
    val selector: SelectorManager,
    val limits: LinkLimits = LinkLimits(),
    val versions: () -> Message.Versions = { Message.Versions(0, 0, 0) },
) {
    private val random = SecureRandom()

    internal fun hello(): Message.Hello =
        Message.Hello(
            version = PROTOCOL_VERSION,
            instance = identity.instance,
            incarnation = identity.incarnation,
            role = identity.role,
            dataCentre = identity.dataCentre,
            nonce = ByteArray(NONCE_BYTES).also(random::nextBytes),
            upstream = identity.upstream,
            models = identity.models,
        )
}

/** Delays between attempts to connect: doubled from [first] up to [max], then multiplied by a random 0.5 to 1. */
data class Backoff(
    val first: Duration = 100.milliseconds,
    val max: Duration = 5.seconds,
) {
    /** The delay after [failures] consecutive failures, at least 1; [random] is uniform in 0 until 1. */
    fun delay(
        failures: Int,
        random: Double,
    ): Duration = minOf(max, first * (1L shl (failures - 1).coerceIn(0, 20)).toDouble()) * (0.5 + random / 2)
}

/** A listening socket for links. [address] is the bound one, "IP:port". */
class LinkListener internal constructor(
    val address: String,
    private val socket: ServerSocket,
    private val job: Job,
) {
    /** Accepts no further links; open ones stay. */
    fun stopAccepting() {
        job.cancel()
        socket.close()
    }
}

/**
 * Listens on [address] ("IP:port", port 0 lets the system choose) and runs [onLink] for each authenticated link. The
 * link closes when [onLink] returns, and [onLink] is cancelled when this scope is.
 *
 * @throws IOException if the address cannot be bound.
 */
suspend fun CoroutineScope.listenForLinks(
    context: LinkContext,
    address: String,
    onLink: suspend (Link) -> Unit,
): LinkListener {
    val socket = aSocket(context.selector).tcp().bind(socketAddress(address)) { reuseAddress = true }
    val bound = socket.localAddress as InetSocketAddress
    val handshakes = Semaphore(MAX_HANDSHAKES)
    val scope = this
    val accepting =
        launch {
            while (isActive) {
                val connection = acceptOrNull(socket)
                if (connection == null) {
                    // Out of file descriptors, for example; without a pause this loop would take a whole core.
                    delay(ACCEPT_PAUSE)
                } else if (handshakes.tryAcquire()) {
                    scope.launch { context.serve(connection, LinkSide.LISTENER, onLink) { handshakes.release() } }
                } else {
                    connection.close()
                }
            }
        }
    // The host as it was given: the bound address would be looked up by name.
    return LinkListener("${address.substringBeforeLast(':')}:${bound.port}", socket, accepting)
}

/**
 * Keeps a link to [address] open until the returned job is cancelled and runs [onLink] for each one. The link closes
 * when [onLink] returns; a new one follows after the backoff. [random] is uniform in 0 until 1.
 */
fun CoroutineScope.maintainLink(
    context: LinkContext,
    address: String,
    backoff: Backoff = Backoff(),
    random: () -> Double = Math::random,
    onLink: suspend (Link) -> Unit,
): Job =
    launch {
        var failures = 0
        while (isActive) {
            val connection = context.connect(address)
            val served = connection != null && context.serve(connection, LinkSide.CONNECTOR, onLink)
            failures = if (served) 1 else failures + 1
            delay(backoff.delay(failures, random()))
        }
    }

private suspend fun LinkContext.connect(address: String): Socket? =
    try {
        withTimeoutOrNull(
            limits.handshake,
        ) { aSocket(selector).tcp().connect(socketAddress(address)) { noDelay = true } }
    } catch (e: IOException) {
        log.debug("event=link_connect_failed address={} error=\"{}\"", address, e.message)
        null
    }

private suspend fun acceptOrNull(socket: ServerSocket): Socket? =
    try {
        socket.accept()
    } catch (e: IOException) {
        log.warn("event=link_accept_failed error=\"{}\"", e.message)
        null
    }

/** Serves one connection; returns true if the peer was authenticated. */
private suspend fun LinkContext.serve(
    socket: Socket,
    side: LinkSide,
    onLink: suspend (Link) -> Unit,
    afterHandshake: () -> Unit = {},
): Boolean {
    val remote = runCatching { socket.remoteAddress.toString() }.getOrDefault("unknown")
    try {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        val peer =
            try {
                withTimeoutOrNull(limits.handshake) { handshake(side, hello(), secret, input, output) }
            } finally {
                afterHandshake()
            }
        if (peer == null) throw HandshakeException("no handshake within ${limits.handshake}")
        serveOpen(Link(peer, limits), socket, input, output, onLink)
        return true
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        // One bad peer or one failing handler must not end the listener.
        log.warn("event=link_failed remote={} error=\"{}\"", remote, e.message ?: e::class.simpleName)
        return false
    } finally {
        socket.close()
    }
}

private suspend fun LinkContext.serveOpen(
    link: Link,
    socket: Socket,
    input: ByteReadChannel,
    output: ByteWriteChannel,
    onLink: suspend (Link) -> Unit,
) = coroutineScope {
    log.info("event=link_open peer={} role={}", link.peer.instance, link.peer.role)
    val moving = launch { link.run(socket, input, output, versions) }
    try {
        onLink(link)
    } finally {
        link.close()
        moving.join()
        log.info("event=link_closed peer={} reason=\"{}\"", link.peer.instance, link.awaitClose())
    }
}

private fun socketAddress(address: String): InetSocketAddress {
    val host = address.substringBeforeLast(':').removeSurrounding("[", "]")
    return InetSocketAddress(host, address.substringAfterLast(':').toInt())
}
