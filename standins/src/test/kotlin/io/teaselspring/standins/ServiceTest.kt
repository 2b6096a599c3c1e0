package io.teaselspring.standins

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.teaselspring.standins.service.PlainService
import io.teaselspring.standins.service.ServiceSettings
import io.teaselspring.standins.service.plainService
import kotlinx.coroutines.withTimeoutOrNull
import java.net.Socket
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds

private class Crashed : RuntimeException()

// Guards against executions that the record does not show, which would hide a call that ran twice.
class ServiceTest :
    FunSpec({
        val client = HttpClient(CIO)
        lateinit var server: RunningServer

        suspend fun post(
            path: String,
            body: String,
            requestId: String = "r1",
        ) = client.post("http://127.0.0.1:${server.port}$path") {
            header("X-Request-Id", requestId)
            setBody(body)
        }

        suspend fun journal() = client.get("http://127.0.0.1:${server.port}/journal").bodyAsText()

        beforeTest {
            val service = PlainService(ServiceSettings(), Clock.System) { throw Crashed() }
            server = startServer("127.0.0.1", 0) { plainService(service) }
        }
        afterTest { server.stop() }
        afterSpec { client.close() }

        test("a call whose response is cut has run, and its repeat counts as a second execution") {
            post("/faults", """{"cut_response": true}""")
            // Read from the socket, because the client takes a chunked body without its last chunk for complete.
            val response =
                Socket("127.0.0.1", server.port).use {
                    it.soTimeout = 10_000
                    val head = "POST /bookings HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\nContent-Length: 2\r\n\r\n{}"
                    it.getOutputStream().write(head.toByteArray())
                    it.getInputStream().readAllBytes().decodeToString()
                }
            response shouldContain "\"path\":\"/bookings"
            response shouldNotContain "\r\n0\r\n"
            journal() shouldContain """"by_request_id":{"r1":1}"""
            post("/faults", "{}")
            post("/bookings", "{}").bodyAsText() shouldBe
                """{"method":"POST","path":"/bookings","executions":2,"request_id":"r1"}"""
            journal() shouldContain """"by_request_id":{"r1":2}"""
        }

        test("a crash before the execution leaves no trace and one after it does") {
            post("/faults", """{"crash_before": true}""")
            post("/bookings", "{}", "before").status.value shouldBe 500
            post("/faults", """{"crash_after": true}""")
            post("/bookings", "{}", "after").status.value shouldBe 500
            journal() shouldContain """"by_request_id":{"after":1}"""
        }

        test("a hanging service answers nothing and runs nothing") {
            post("/faults", """{"hang": true}""")
            withTimeoutOrNull(200.milliseconds) { post("/bookings", "{}") } shouldBe null
            journal() shouldContain """{"executions":0,"by_request_id":{},"entries":[]"""
        }

        test("an answer counts the executions of its own request, whatever else has run") {
            client.get("http://127.0.0.1:${server.port}/stock/a")
            post("/bookings", "{}", "r1")
            post("/bookings", "{}", "r2").bodyAsText() shouldBe
                """{"method":"POST","path":"/bookings","executions":1,"request_id":"r2"}"""
        }

        test(
            "a stuttering service breaks responses off at any byte, goes on with another, and has run all",
        ) {
            val service = PlainService(ServiceSettings(), Clock.System) { throw Crashed() }
            val stuttering = startServer("127.0.0.1", 0, Stutter(share = 0.5, seed = 3)) { plainService(service) }
            val responses =
                List(40) { index ->
                    Socket("127.0.0.1", stuttering.port).use {
                        it.soTimeout = 10_000
                        val fields = "Host: x\r\nX-Request-Id: s$index\r\nConnection: close\r\nContent-Length: 2"
                        it.getOutputStream().write("POST /bookings HTTP/1.1\r\n$fields\r\n\r\n{}".toByteArray())
                        it.getInputStream().readAllBytes().decodeToString()
                    }
                }
            stuttering.stop()
            val joined = responses.filter { "HTTP/1.1 500" in it }
            joined.size shouldBeInRange 10..30
            joined.map { it.indexOf("HTTP/1.1 500") }.distinct().size shouldBeGreaterThan 5
            responses.filter { it !in joined }.forEach { it shouldContain "\"executions\":1" }
            service.journal().executions shouldBe 40
        }

        test("reads are counted but not recorded") {
            client.get("http://127.0.0.1:${server.port}/stock/a%2Fb").bodyAsText() shouldBe
                """{"method":"GET","path":"/stock/a%2Fb","executions":1,"request_id":null}"""
            journal() shouldContain """"entries":[]"""
        }
    })
