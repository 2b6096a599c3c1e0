package io.teaselspring.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import io.teaselspring.standins.proxy.FaultProxy
import io.teaselspring.standins.proxy.Target
import io.teaselspring.standins.proxy.proxyControl
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private fun listen() = ServerSocket(0, 50, InetAddress.getLoopbackAddress()).apply { soTimeout = 10_000 }

private fun ServerSocket.next() = accept().apply { soTimeout = 10_000 }

private fun Socket.send(value: Int) = getOutputStream().write(value)

private fun Socket.read() = getInputStream().read()

/** The end of the stream or a reset. */
private fun Socket.isCut() =
    try {
        read() == -1
    } catch (_: SocketTimeoutException) {
        false
    } catch (_: IOException) {
        true
    }

// Guards against a proxy whose faults miss running connections or tear holes into streams.
class ProxyTest :
    FunSpec({
        val client = HttpClient(CIO)
        lateinit var scope: CoroutineScope
        lateinit var server: ServerSocket
        lateinit var control: RunningServer
        var port = 0

        fun connect() = Socket(InetAddress.getLoopbackAddress(), port).apply { soTimeout = 10_000 }

        suspend fun control(
            path: String,
            body: String,
        ) = client.post("http://127.0.0.1:${control.port}$path") { setBody(body) }.status.value shouldBe 200

        beforeTest {
            scope = CoroutineScope(Dispatchers.Default)
            server = listen()
            val selector = SelectorManager(Dispatchers.IO)
            val proxy = FaultProxy(scope, selector, TimeSource.Monotonic, Target("127.0.0.1", server.localPort))
            val listener = aSocket(selector).tcp().bind(InetSocketAddress("127.0.0.1", 0))
            port = listener.port
            proxy.serve(listener)
            control = startServer("127.0.0.1", 0) { proxyControl(proxy) }
        }
        afterTest {
            control.stop()
            scope.cancel()
            server.close()
        }
        afterSpec { client.close() }

        test("a one-way drop holds back one direction of a running connection and the other passes") {
            val near = connect()
            val far = server.next()
            control("/faults", """{"drop_client_to_server": true}""")
            near.send(1)
            near.shutdownOutput()
            far.send(2)
            near.read() shouldBe 2
            far.soTimeout = 200
            shouldThrow<SocketTimeoutException> { far.read() }
            far.soTimeout = 10_000
            control("/faults", "{}")
            listOf(far.read(), far.read()) shouldBe listOf(1, -1)
        }

        test("a cut closes both sides of running connections and new ones until it is lifted") {
            val near = connect()
            val far = server.next()
            control("/faults", """{"cut": true}""")
            near.isCut() shouldBe true
            far.isCut() shouldBe true
            connect().isCut() shouldBe true
            control("/faults", "{}")
            connect().send(7)
            server.next().read() shouldBe 7
        }

        test("held connections go on in reverse order") {
            control("/faults", """{"hold": true}""")
            (1..3).forEach { connect().send(it) }
            eventually(10.seconds) {
                client.get("http://127.0.0.1:${control.port}/connections").bodyAsText() shouldBe
                    """{"held":3,"running":0}"""
            }
            control("/release", """{"order": "reverse"}""")
            List(3) { server.next().read() } shouldBe listOf(3, 2, 1)
        }

        test("a dead target closes the caller's connection, and a new target serves new connections") {
            server.close()
            connect().isCut() shouldBe true
            server = listen()
            control("/target", """{"target": "127.0.0.1:${server.localPort}"}""")
            control("/faults", """{"delay_ms": 20}""")
            val near = connect()
            near.send(9)
            server.next().use { it.read() shouldBe 9 }
            near.isCut() shouldBe true
        }
    })
