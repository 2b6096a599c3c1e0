package io.teaselspring.daemon.gateway

import com.sun.net.httpserver.HttpServer
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.withContext
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
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

        // Open connections may go silent all at once while new ones work.
        test("after a call without an answer the next one does not use a connection that is as old") {
            val runtime = GatewayRuntime()
            val silent = ConcurrentHashMap.newKeySet<Thread>()
            val bothCalled = CountDownLatch(2)
            val server =
                ScriptedUpstream { request, output ->
                    if (!silent.add(Thread.currentThread())) Thread.sleep(Long.MAX_VALUE)
                    if ("/first" in request.line) {
                        bothCalled.countDown()
                        bothCalled.await()
                    }
                    output.respond(request)
                    ConnectionAction.KEEP
                }
            server.use {
                withContext(runtime.dispatcher) {
                    val both = List(2) { async { runtime.calls.call(server.address, "GET", "/first", 5.seconds) } }
                    both.awaitAll().forEach { it.isRight() shouldBe true }
                    runtime.calls.call(server.address, "GET", "/second", 200.milliseconds).isLeft() shouldBe true
                    runtime.calls.call(server.address, "GET", "/third", 2.seconds).isRight() shouldBe true
                }
            }
        }
    })
