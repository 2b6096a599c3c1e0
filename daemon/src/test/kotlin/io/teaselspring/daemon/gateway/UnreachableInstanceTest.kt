/*
 * Guards against requests that no instance has received and that are answered as if one might have run them, and
 * against time limits that are spent on attempts to connect to one unreachable data centre.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.daemon.eventually
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.CountDownLatch

/** A listener whose queue of connections is full: attempts to connect get no answer. */
private class SilentListener : AutoCloseable {
    private val listener = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val queued = ArrayList<Socket>()
    val address = "127.0.0.1:${listener.localPort}"

    init {
        while (true) {
            val socket = Socket().also { queued += it }
            try {
                socket.connect(InetSocketAddress(listener.inetAddress, listener.localPort), 200)
            } catch (_: SocketTimeoutException) {
                break
            }
        }
    }

    override fun close() {
        queued.forEach { it.close() }
        listener.close()
    }
}

private fun answering() =
    ScriptedUpstream { request, output ->
        output.respond(request)
        ConnectionAction.KEEP
    }

private fun GatewaySite.addSilent(
    id: String,
    listener: SilentListener,
    dataCentre: String,
) = instances.set(
    id,
    RegisteredInstance(InstanceId(id), GatewaySite.UPSTREAM, listener.address, DataCentre(dataCentre), 64, false, 1),
)

class UnreachableInstanceTest :
    FunSpec({
        test("a request whose time is up while its connection is being opened is refused as not run") {
            SilentListener().use { silent ->
                withGateway(timeoutMs = 250) {
                    addSilent("silent", silent, "gijon")
                    eventually { call(ORDER) shouldContain "timeout, not run" }
                    listOf(PLAIN, ORDER, STREAM, RESUMED).forEach {
                        val response = call(it)
                        withClue(response) {
                            response shouldStartWith "HTTP/1.1 503"
                            response shouldContain "\"ran\":\"not run\""
                            response.lowercase() shouldContain "retry-after"
                        }
                    }
                }
            }
        }

        test("a request whose time is up during its second attempt to connect is refused as not run") {
            val silent = List(2) { SilentListener() }
            withGateway(timeoutMs = 650) {
                silent.forEachIndexed { index, listener -> addSilent("silent-$index", listener, "gijon") }
                eventually { call(ORDER) shouldContain "timeout, not run" }
            }
            silent.forEach { it.close() }
        }

        test("a request that an instance has received is answered 504 at its time limit") {
            val mayEnd = CountDownLatch(1)
            val silent =
                ScriptedUpstream { _, _ ->
                    mayEnd.await()
                    ConnectionAction.CLOSE
                }
            withGateway(silent, timeoutMs = 250) {
                call(ORDER) shouldStartWith "HTTP/1.1 504"
                mayEnd.countDown()
            }
        }

        // With 400 ms for each attempt to connect, 859 ms are enough for one of them only.
        test("a booking survives a data centre that cannot be reached, however many instances it has") {
            val aviles = answering()
            SilentListener().use { silent ->
                withGateway(aviles) {
                    add("engine-0", aviles, "aviles")
                    repeat(12) { addSilent("silent-$it", silent, "gijon") }
                    // Longer than the entry waits between two reads of the registry.
                    Thread.sleep(2_000)
                    repeat(8) {
                        val response = call(ORDER, headers = "X-Time-Budget-Ms: 859\r\n")
                        withClue(response) { response shouldStartWith "HTTP/1.1 200" }
                    }
                }
            }
        }

        test("a data centre with one dark machine keeps its requests") {
            val gijon = answering()
            val aviles = answering()
            SilentListener().use { silent ->
                withGateway(gijon, aviles) {
                    add("engine-0", gijon, "gijon")
                    add("engine-1", aviles, "aviles")
                    addSilent("silent", silent, "gijon")
                    repeat(20) { call(ORDER) shouldStartWith "HTTP/1.1 200" }
                    val before = gijon.requests.value.size
                    eventually {
                        call(ORDER) shouldStartWith "HTTP/1.1 200"
                        gijon.requests.value.size - before shouldBeGreaterThan 2
                    }
                    isReady() shouldBe true
                }
            }
        }
    })
