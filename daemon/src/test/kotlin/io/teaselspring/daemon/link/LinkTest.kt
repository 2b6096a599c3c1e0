package io.teaselspring.daemon.link

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeInt
import io.teaselspring.core.DataCentre
import io.teaselspring.core.Incarnation
import io.teaselspring.core.InstanceId
import io.teaselspring.core.RequestId
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.Role
import io.teaselspring.protocol.readMessage
import io.teaselspring.protocol.writeMessage
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.take
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val selector = SelectorManager(Dispatchers.IO)

private fun context(
    role: Role,
    secret: String = "shared",
    limits: LinkLimits = LinkLimits(),
) = LinkContext(
    LinkIdentity(InstanceId(role.name.lowercase()), Incarnation("1"), role, DataCentre("casa-a")),
    secret.toByteArray(),
    selector,
    limits,
)

private suspend fun withScope(block: suspend CoroutineScope.() -> Unit) {
    val scope = CoroutineScope(Dispatchers.Default)
    try {
        withTimeout(20.seconds) { scope.block() }
    } finally {
        scope.cancel()
    }
}

private val fast = Backoff(10.milliseconds, 20.milliseconds)

class LinkTest :
    FunSpec({
        test("messages arrive in order on both sides of a link and both peers are known") {
            withScope {
                val listener =
                    listenForLinks(context(Role.AGENT), "127.0.0.1:0") { link ->
                        link.incoming.collect { link.send(it) }
                    }
                val sent = (1..50).map { Message.Cancel(RequestId("r-$it"), it) }
                val response = CompletableDeferred<Pair<InstanceId, List<Message>>>()
                maintainLink(context(Role.ENTRY), listener.address, fast) { link ->
                    sent.forEach { link.send(it) }
                    response.complete(link.peer.instance to link.incoming.take(50).toList())
                }
                response.await().first shouldBe InstanceId("agent")
                response.await().second shouldContainExactly sent
            }
        }

        test("the connecting side opens a new link after one is lost") {
            withScope {
                val listener = listenForLinks(context(Role.AGENT), "127.0.0.1:0") { it.close() }
                val links = MutableCounter()
                maintainLink(context(Role.ENTRY), listener.address, fast) { link ->
                    links.increment()
                    link.awaitClose()
                }
                links.await(3)
            }
        }

        test("a process with another secret is refused before it can send a message") {
            withScope {
                val served = CompletableDeferred<Unit>()
                val listener = listenForLinks(context(Role.AGENT), "127.0.0.1:0") { served.complete(Unit) }
                val stranger = context(Role.ENTRY, secret = "guessed")
                aSocket(stranger.selector).tcp().connect("127.0.0.1", listener.port()).use { socket ->
                    shouldThrow<IOException> {
                        handshake(
                            LinkSide.CONNECTOR,
                            stranger.hello(),
                            stranger.secret,
                            socket.openReadChannel(),
                            socket.openWriteChannel(),
                        )
                    }
                }
                served.isCompleted shouldBe false
            }
        }

        test("a peer that reflects the nonce or the proof it received is refused") {
            val own = context(Role.ENTRY).hello()
            val peer = context(Role.ENTRY).hello()
            val secret = "shared".toByteArray()
            proof(secret, LinkSide.CONNECTOR, own, peer) shouldBe proof(secret, LinkSide.CONNECTOR, own, peer)
            (
                proof(
                    secret,
                    LinkSide.CONNECTOR,
                    own,
                    peer,
                ) contentEquals proof(secret, LinkSide.LISTENER, own, peer)
            ) shouldBe
                false
            withScope {
                val victim = context(Role.ENTRY)
                val server = aSocket(victim.selector).tcp().bind("127.0.0.1", 0)
                launch {
                    val connection = server.accept()
                    val input = connection.openReadChannel()
                    val output = connection.openWriteChannel()
                    val hello = input.readMessage() as Message.Hello
                    // Another nonce, else the reflection ends at the Hello already.
                    output.writeMessage(hello.copy(nonce = ByteArray(NONCE_BYTES)))
                    output.writeMessage(input.readMessage())
                }
                val port = (server.localAddress as InetSocketAddress).port
                aSocket(victim.selector).tcp().connect("127.0.0.1", port).use { socket ->
                    shouldThrow<HandshakeException> {
                        handshake(
                            LinkSide.CONNECTOR,
                            victim.hello(),
                            secret,
                            socket.openReadChannel(),
                            socket.openWriteChannel(),
                        )
                    }.message shouldContain "proof"
                }
            }
        }

        test("a connection that says nothing is closed after the handshake timeout") {
            withScope {
                val limits = LinkLimits(handshake = 50.milliseconds)
                val listener = listenForLinks(context(Role.AGENT, limits = limits), "127.0.0.1:0") {}
                aSocket(selector).tcp().connect("127.0.0.1", listener.port()).use { socket ->
                    val input = socket.openReadChannel()
                    input.readMessage()
                    shouldThrow<IOException> { input.readMessage() }
                }
            }
        }

        test("a peer that takes no data loses the link instead of growing the queue") {
            withScope {
                val limits = LinkLimits(stall = 100.milliseconds, queueBytes = 1_000_000)
                val reason = CompletableDeferred<String>()
                val listener =
                    listenForLinks(context(Role.AGENT, limits = limits), "127.0.0.1:0") { link ->
                        while (link.send(Message.Proof(ByteArray(500_000)))) Unit
                        reason.complete(link.awaitClose())
                    }
                rawLink(listener.port()) { _, _ -> reason.await() shouldBe "the peer takes no data" }
            }
        }

        test("a frame beyond the limit closes the link") {
            withScope {
                val reason = CompletableDeferred<String>()
                val listener =
                    listenForLinks(context(Role.AGENT), "127.0.0.1:0") { reason.complete(it.awaitClose()) }
                rawLink(listener.port()) { _, output ->
                    output.writeInt(Int.MAX_VALUE)
                    output.flush()
                    reason.await() shouldContain "protocol error"
                }
            }
        }

        test("a silent peer loses the link, one that only keeps it alive does not") {
            withScope {
                val limits = LinkLimits(keepAlive = 50.milliseconds, idle = 1.seconds)
                val reason = CompletableDeferred<String>()
                val listener =
                    listenForLinks(context(Role.AGENT, limits = limits), "127.0.0.1:0") { link ->
                        link.incoming.collect { }
                        reason.complete(link.awaitClose())
                    }
                rawLink(listener.port()) { input, _ ->
                    input.readMessage()::class shouldBe Message.Versions::class
                    reason.await() shouldContain "nothing received"
                }
            }
        }
    })

private fun LinkListener.port() = address.substringAfterLast(':').toInt()

private suspend fun rawLink(
    port: Int,
    block: suspend (ByteReadChannel, ByteWriteChannel) -> Unit,
) {
    val peer = context(Role.ENTRY)
    aSocket(peer.selector).tcp().connect("127.0.0.1", port).use { socket ->
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        handshake(LinkSide.CONNECTOR, peer.hello(), peer.secret, input, output)
        block(input, output)
    }
}

private class MutableCounter {
    private val count = MutableStateFlow(0)

    fun increment() = synchronized(this) { count.value += 1 }

    suspend fun await(atLeast: Int) = count.first { it >= atLeast }
}
