/*
 * The subcommand that runs the fault proxy, and its HTTP control.
 */
package io.teaselspring.standins.proxy

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import io.ktor.http.HttpStatusCode
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import io.ktor.server.application.Application
import io.ktor.server.plugins.BadRequestException
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.teaselspring.standins.Reply
import io.teaselspring.standins.json
import io.teaselspring.standins.receiveJson
import io.teaselspring.standins.respond
import io.teaselspring.standins.startServer
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put
import org.slf4j.LoggerFactory
import kotlin.time.TimeSource

private val log = LoggerFactory.getLogger("proxy")

@Serializable
private data class ReleaseRequest(
    val order: ReleaseOrder = ReleaseOrder.FIFO,
)

@Serializable
private data class TargetRequest(
    val target: String,
)

internal class ProxyCommand : CliktCommand("proxy") {
    private val host by option("--host").default("127.0.0.1")
    private val port by option("--port", help = "0 leaves the choice to the system").int().default(0)
    private val controlPort by option("--control-port").int().default(0)
    private val target by option("--target", help = "host:port")
        .convert { targetOf(it) ?: fail("not host:port") }
        .required()

    override fun run() =
        runBlocking(Dispatchers.Default) {
            val selector = SelectorManager(Dispatchers.IO)
            val proxy = FaultProxy(this, selector, TimeSource.Monotonic, target)
            val server = aSocket(selector).tcp().bind(InetSocketAddress(host, port)) { reuseAddress = true }
            proxy.serve(server)
            val control = startServer(host, controlPort) { proxyControl(proxy) }
            println("event=listening port=${server.port} control_port=${control.port}")
            awaitCancellation()
        }
}

/** Serves the control of [proxy]. */
internal fun Application.proxyControl(proxy: FaultProxy) =
    routing {
        post("/faults") {
            val faults = call.receiveJson<ProxyFaults>()
            proxy.set(faults)
            log.info("event=faults faults={}", json.encodeToString(faults))
            call.respond(Reply(HttpStatusCode.OK, json.encodeToJsonElement(faults)))
        }
        get("/connections") {
            val (held, running) = proxy.connections()
            val body =
                buildJsonObject {
                    put("held", held)
                    put("running", running)
                }
            call.respond(Reply(HttpStatusCode.OK, body))
        }
        post("/release") {
            val released = proxy.release(call.receiveJson<ReleaseRequest>().order)
            log.info("event=release connections={}", released)
            call.respond(Reply(HttpStatusCode.OK, buildJsonObject { put("released", released) }))
        }
        post("/target") {
            val target = call.receiveJson<TargetRequest>().target
            proxy.target = targetOf(target) ?: throw BadRequestException("target is not host:port")
            log.info("event=target target={}", target)
            call.respond(Reply(HttpStatusCode.OK, buildJsonObject { put("target", target) }))
        }
    }
