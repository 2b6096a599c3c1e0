package io.teaselspring.daemon.gateway

import com.sun.net.httpserver.HttpServer
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import kotlinx.coroutines.withContext
import java.net.InetAddress
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

// Guards against an outage of the store that is not visible in the metrics.
class HttpCallsTest :
    FunSpec({
        test("each control-plane call is counted by its kind and outcome") {
            val runtime = GatewayRuntime()
            val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
            server.createContext("/api/get") { call ->
                call.sendResponseHeaders(503, -1)
                call.close()
            }
            server.createContext("/api/feed") { }
            server.start()
            val address = "127.0.0.1:${server.address.port}"
            withContext(runtime.dispatcher) {
                repeat(2) { runtime.calls.call(address, "GET", "/api/get?table=a/b", 5.seconds) }
                runtime.calls.call(address, "GET", "/api/feed", 100.milliseconds)
                server.stop(0)
                runtime.calls.call("127.0.0.1:1", "POST", "/usage", 5.seconds)
            }
            val counts =
                runtime.metrics.registry
                    .scrape { it == "teaselspring_control_calls" }
                    .filterIsInstance<CounterSnapshot>()
                    .flatMap { it.dataPoints }
                    .associate { (it.labels["call"] to it.labels["outcome"]) to it.value.toInt() }
            counts shouldBe
                mapOf(("get" to "status_503") to 2, ("feed" to "no_answer") to 1, ("usage" to "not_sent") to 1)
        }
    })
