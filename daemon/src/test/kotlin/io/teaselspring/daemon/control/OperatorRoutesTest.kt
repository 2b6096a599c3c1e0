package io.teaselspring.daemon.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.ktor.client.HttpClient
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.routing
import io.teaselspring.core.DataCentre
import io.teaselspring.core.Incarnation
import io.teaselspring.core.InstanceId
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlin.time.Duration.Companion.hours

/** Calls the operators' routes of one entry over a fake platform. */
private class Operators(
    private val port: Int,
    val control: EntryControl,
    val platform: FakePlatform,
) {
    suspend fun call(
        method: String,
        path: String,
        body: String = "",
    ): Pair<Int, String> =
        HttpClient(io.ktor.client.engine.cio.CIO).use { client ->
            val response =
                client.request("http://127.0.0.1:$port$path") {
                    this.method = HttpMethod(method)
                    if (body.isNotEmpty()) setBody(body)
                }
            response.status.value to response.bodyAsText()
        }
}

private suspend fun withOperators(use: suspend Operators.() -> Unit) {
    val platform = FakePlatform()
    val identity = ControlIdentity(InstanceId("i"), Incarnation("n"), DataCentre("oviedo"), usageWindow = 1.hours)
    val control = EntryControl(identity, platform.platform)
    val server = embeddedServer(CIO, port = 0, host = "127.0.0.1") { routing { control.routes(this) } }.start()
    val port =
        server.engine
            .resolvedConnectors()
            .first()
            .port
    try {
        Operators(port, control, platform).use()
    } finally {
        server.stop(0, 0)
    }
}

private const val BASE =
    """{"classes": {"short": {"tier": 1, "first_token_target_ms": 800}},
        "upstreams": {"taquilla": {"kind": "plain_service"}},
        "routes": {"book": {"path_prefix": "/book", "upstream": "taquilla", "class": "short"}}}"""

// Guards against answers that the command line cannot turn into exit codes, and against secrets in answers.
class OperatorRoutesTest :
    FunSpec({
        test("documents are applied once per version, compared, listed and kept in the history") {
            withOperators {
                call("POST", "/config/apply", """{"based_on": 0, "base": $BASE}""") shouldBe
                    (200 to """{"version":1}""")
                val (status, body) = call("POST", "/config/apply", """{"based_on": 0, "base": $BASE}""")
                status shouldBe 409
                body shouldContain "\"based_on\":0,\"current\":1"
                val overlay = """{"based_on": 1, "overlays": {"oviedo": {"classes": {"short": {"tier": 2}}}}}"""
                call("POST", "/config/diff", overlay).second shouldContain "+ overlay oviedo.classes.short.tier: 2"
                call("POST", "/config/apply", overlay).first shouldBe 200
                call("GET", "/classes").second shouldContain "\"tier\":2"
                call("GET", "/classes?data_centre=gijon").second shouldContain "\"tier\":1"
                call("GET", "/config/history").second shouldContain "overlay oviedo replaced"
                call("GET", "/config/wait?version=2").first shouldBe 200
                call("GET", "/config/wait?version=3&timeout_ms=1").first shouldBe 408
            }
        }

        test("an entry that started from a snapshot shows the whole history") {
            withOperators {
                (1..52).forEach { call("POST", "/organisations", """{"id": "o$it"}""").first shouldBe 201 }
                val started =
                    EntryControl(
                        ControlIdentity(InstanceId("j"), Incarnation("m"), DataCentre("gijon")),
                        platform.platform,
                    )
                val server =
                    embeddedServer(
                        CIO,
                        port = 0,
                        host = "127.0.0.1",
                    ) { routing { started.routes(this) } }.start()
                val port =
                    server.engine
                        .resolvedConnectors()
                        .first()
                        .port
                val second = Operators(port, started, platform)
                second.call("POST", "/organisations", """{"id": "last"}""").first shouldBe 201
                started.config.changesAfter(40) shouldBe null
                val history = second.call("GET", "/config/history?limit=60").second
                history shouldContain "organisation o1 put"
                history shouldContain "organisation last put"
                server.stop(0, 0)
            }
        }

        test("an invalid document is refused with the faults and changes nothing") {
            withOperators {
                val faulty = BASE.replace("\"tier\": 1", "\"tier\": 8")
                val (status, body) = call("POST", "/config/apply", """{"based_on": 0, "base": $faulty}""")
                status shouldBe 422
                body shouldContain "$.classes.short.tier"
                call("POST", "/config/apply", "{").first shouldBe 422
                control.config.state.version shouldBe 0
            }
        }

        test("a key's secret is in the answer to its creation only, and works until it is withdrawn") {
            withOperators {
                call("POST", "/keys", """{"organisation": "acme"}""").first shouldBe 422
                call("POST", "/organisations", """{"id": "acme"}""").first shouldBe 201
                call("POST", "/organisations", """{"id": "acme"}""").first shouldBe 404
                val created =
                    Json
                        .parseToJsonElement(
                            call("POST", "/keys", """{"organisation": "acme"}""").second,
                        ).jsonObject
                val secret = created.getValue("secret").jsonPrimitive.content
                control.config
                    .authenticate(secret)
                    ?.organisation
                    ?.value shouldBe "acme"
                val listed = call("GET", "/keys?organisation=acme").second
                listed shouldNotContain secret
                listed shouldNotContain "sha256"
                platform.outage = true
                val id = created.getValue("id").jsonPrimitive.content
                call("POST", "/keys/$id/withdraw").first shouldBe 202
                control.config.authenticate(secret) shouldBe null
                call("POST", "/organisations", """{"id": "other"}""").first shouldBe 503
                call("GET", "/status").second shouldContain "\"pending_withdrawals\":1"
                call("POST", "/keys/k-none/withdraw").first shouldBe 404
            }
        }
    })
