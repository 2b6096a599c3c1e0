package io.teaselspring.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.teaselspring.standins.platform.PlatformSettings
import io.teaselspring.standins.platform.PlatformState
import io.teaselspring.standins.platform.platform
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

// Guards against a platform whose faults or conditions differ from the interface, which would hide faults of clients.
class PlatformTest :
    FunSpec({
        val time = TestTimeSource()
        val client = HttpClient(CIO)
        lateinit var server: RunningServer

        suspend fun put(
            path: String,
            body: String,
            vararg headers: Pair<String, String>,
        ) = client.put("http://127.0.0.1:${server.port}$path") {
            headers.forEach { (name, value) -> header(name, value) }
            setBody(body)
        }

        suspend fun post(
            path: String,
            body: String,
        ) = client.post("http://127.0.0.1:${server.port}$path") { setBody(body) }

        suspend fun get(path: String) = client.get("http://127.0.0.1:${server.port}$path")

        fun order(
            upstream: String,
            epoch: Int,
            number: Int,
        ) = """
            {"data_centre": "oviedo", "upstream": "$upstream", "epoch": $epoch, "number": $number, "count": 2,
             "holder": "a", "action": "scale"}
            """

        beforeTest {
            val settings = PlatformSettings(checksEpoch = setOf("narradores"), lagMs = 500)
            val state = PlatformState(settings, Clock.System, time)
            server = startServer("127.0.0.1", 0) { platform(state) }
        }
        afterTest { server.stop() }
        afterSpec { client.close() }

        test("a lost response takes effect, is counted, and leaves other paths alone") {
            post("/faults", """{"lose_responses": 1, "lose_path_prefix": "/tables"}""")
            put("/objects/a", "bytes").status.value shouldBe 201
            shouldThrow<IOException> { put("/tables/t/lease%2Forders", "7", HttpHeaders.IfNoneMatch to "*") }
            get("/tables/t/lease%2Forders").bodyAsText() shouldBe "7"
            put("/tables/t/lease%2Forders", "8", HttpHeaders.IfMatch to "\"1\"").headers["ETag"] shouldBe "\"2\""
        }

        test("the losing writer gets 412 and the row keeps the winner's value") {
            put("/tables/t/k", "1", HttpHeaders.IfNoneMatch to "*").status.value shouldBe 201
            put("/tables/t/k", "2", HttpHeaders.IfNoneMatch to "*").status.value shouldBe 412
            put("/tables/t/k", "3", HttpHeaders.IfMatch to "\"2\"").status.value shouldBe 412
            put("/tables/t/absent", "3", HttpHeaders.IfMatch to "\"0\"").status.value shouldBe 412
            get("/tables/t/k").bodyAsText() shouldBe "1"
            put("/tables/t/a/b", "1").status.value shouldBe 400
        }

        test("a transaction with one failed condition changes nothing") {
            put("/tables/t/b", "1")
            val failed =
                """{"writes": [{"table": "t", "key": "a", "if_version": 0, "value": 1},
                    {"table": "t", "key": "b", "if_version": 5, "value": 2}]}"""
            post("/transactions", failed).bodyAsText() shouldBe """{"failed":1}"""
            get("/tables/t/a").status.value shouldBe 404
            val applied =
                """{"writes": [{"table": "t", "key": "a", "if_version": 0, "value": {"x": 1}},
                    {"table": "t", "key": "b", "if_version": null, "value": null}]}"""
            post("/transactions", applied).bodyAsText() shouldBe """{"versions":[1,0]}"""
            get("/tables/t?prefix=&limit=1").bodyAsText() shouldBe
                """{"rows":[{"key":"a","version":1,"value":{"x":1}}],"more":false}"""
        }

        test("an outage answers 503 or never, also for orders, and read-only refuses only writes of the store") {
            post("/faults", """{"outage": true}""")
            get("/tables/t/a").status.value shouldBe 503
            post("/orders", order("narradores", 1, 1)).status.value shouldBe 503
            post("/faults", """{"outage": true, "hang": true}""")
            withTimeoutOrNull(100.milliseconds) { get("/tables/t/a") } shouldBe null
            post("/faults", """{"read_only": true}""")
            put("/tables/t/a", "1").status.value shouldBe 503
            post("/orders", order("narradores", 1, 1)).status.value shouldBe 200
        }

        test("a write that has arrived takes effect though its caller gave up during the delay") {
            post("/faults", """{"delay_ms": 1000}""")
            withTimeoutOrNull(500.milliseconds) { put("/tables/t/a", "1") } shouldBe null
            post("/faults", "{}")
            eventually(10.seconds) { get("/tables/t/a").status.value shouldBe 200 }
        }

        test("only a receiver that checks epochs refuses a stale one") {
            post("/orders", order("narradores", 5, 2)).bodyAsText() shouldBe """{"applied":true}"""
            post("/orders", order("narradores", 5, 2)).bodyAsText() shouldBe """{"applied":true}"""
            post("/orders", order("narradores", 5, 1)).bodyAsText() shouldBe """{"applied":false}"""
            post("/orders", order("narradores", 4, 9)).let {
                it.status.value shouldBe 409
                it.bodyAsText() shouldBe """{"epoch":5}"""
            }
            post("/orders", order("taquilla", 5, 1))
            post("/orders", order("taquilla", 4, 1)).bodyAsText() shouldBe """{"applied":true}"""
            val results = Regex("\"result\":\"(\\w+)\"").findAll(get("/journal").bodyAsText())
            results.map { it.groupValues[1] }.toList() shouldBe
                listOf("applied", "applied", "not_applied", "stale_epoch", "applied", "applied")
        }

        test("the list of instances is the one of lag_ms ago") {
            val agent =
                """{"role":"agent","data_centre":"oviedo","internal_address":"127.0.0.1:1",
                    "operator_address":"127.0.0.1:2","upstream":"taquilla","state":"live"}"""
            put("/instances/i1", agent)
            time += 499.milliseconds
            get("/instances").bodyAsText() shouldBe """{"instances":[]}"""
            time += 1.milliseconds
            client.get("http://127.0.0.1:${server.port}/instances").bodyAsText().contains("\"i1\"") shouldBe true
        }
    })
