package io.teaselspring.ctl

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.ServerSocket
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText

private class Answered(
    val exitCode: Int,
    val output: String,
    val requests: List<String>,
)

/** Runs the program against a daemon that answers every call with [status] and [body]. */
private suspend fun run(
    status: Int,
    body: String,
    vararg args: String,
): Answered = run(status, emptyMap<String, String>().withDefault { body }, *args)

/** Runs the program against a daemon that answers every call with [status] and the body of its path. */
private suspend fun run(
    status: Int,
    bodies: Map<String, String>,
    vararg args: String,
): Answered {
    val requests = mutableListOf<String>()
    val answer: suspend RoutingContext.() -> Unit = {
        val key = call.request.headers["Authorization"] ?: ""
        requests += "${call.request.httpMethod.value} ${call.request.uri} $key ${call.receiveText()}".trim()
        call.respondText(bodies.getValue(call.request.path()), status = HttpStatusCode.fromValue(status))
    }
    val server =
        embeddedServer(CIO, port = 0, host = "127.0.0.1") {
            routing {
                get("{...}", answer)
                post("{...}", answer)
            }
        }.start()
    val port =
        server.engine
            .resolvedConnectors()
            .first()
            .port
    val printed = ByteArrayOutputStream()
    val before = System.out
    System.setOut(PrintStream(printed))
    val exitCode =
        try {
            runProgram(listOf("--daemon", "http://127.0.0.1:$port") + args)
        } finally {
            System.setOut(before)
            server.stop(0, 0)
        }
    return Answered(exitCode, printed.toString(), requests)
}

private fun file(text: String) = createTempFile(suffix = ".jsonc").apply { writeText(text) }.toString()

// Guards against exit codes that scripts misread, and against invalid files that reach a daemon.
class ProgramTest :
    FunSpec({
        test("each kind of error has its exit code") {
            fun error(type: String) = """{"error": {"type": "$type", "message": "m"}}"""
            run(404, error("refused"), "org", "list").exitCode shouldBe 1
            run(401, "", "org", "list").exitCode shouldBe 1
            run(422, error("invalid"), "org", "create", "x").exitCode shouldBe 2
            run(409, error("conflict"), "org", "create", "x").exitCode shouldBe 3
            run(503, error("store_unavailable"), "org", "create", "x").exitCode shouldBe 5
            val port = ServerSocket(0).use { it.localPort }
            runProgram(listOf("--daemon", "http://127.0.0.1:$port", "org", "list")) shouldBe 4
            runProgram(listOf("--daemon", "ftp://x", "org", "list")) shouldBe 2
            runProgram(listOf("org", "create")) shouldBe 2
        }

        test("an invalid file is refused before the daemon is asked") {
            val base = file("""{"classes": {"a": {"tier": 9, "first_token_target_ms": 5}}}""")
            val answered = run(200, "{}", "apply", "--base", base)
            answered.exitCode shouldBe 2
            answered.requests.shouldBeEmpty()
        }

        test("apply sends the documents with the version that it read") {
            val base = file("""{/* one class */ "classes": {"a": {"tier": 1, "first_token_target_ms": 5}}}""")
            val overlay = file("""{"classes": {"a": {"tier": 2}}}""")
            val answered = run(200, """{"version": 7}""", "apply", "--base", base, "--overlay", "oviedo=$overlay")
            answered.exitCode shouldBe 0
            answered.output shouldContain "applied as version 7"
            answered.requests shouldContain
                "POST /config/apply  {\"based_on\":7,\"base\":{\"classes\":{\"a\":{\"tier\":1," +
                "\"first_token_target_ms\":5}}},\"overlays\":{\"oviedo\":{\"classes\":{\"a\":{\"tier\":2}}}}}"
        }

        test("a new secret is shown and the operator's key is sent from its file") {
            val key = file("op-key\n")
            val body = """{"id": "k-1", "secret": "tsk_x", "version": 3}"""
            val answered = run(201, body, "--operator-key-file", key, "key", "create", "--org", "acme")
            answered.output shouldContain "secret: tsk_x"
            answered.requests shouldBe listOf("POST /keys Bearer op-key {\"organisation\":\"acme\"}")
        }

        test("json output is the daemon's answer") {
            val answered = run(200, """{"acme": {"weight": 2}}""", "--output", "json", "org", "list")
            answered.output shouldContain "\"weight\": 2"
            run(200, """{"acme": {"weight": 2}}""", "org", "list").output shouldContain "acme  2       -"
        }

        val classes = """{"classes": {"a": {"tier": 1, "first_token_target_ms": 5}}}"""
        val upstreams = """"upstreams": {"e": {"kind": "model_engine", "models": ["m"]}}"""
        val sound = classes.dropLast(1) + ", $upstreams}"

        test("check exits with 0 for nothing, 1 for warnings and 2 for errors, also without a daemon") {
            fun check(vararg texts: String): Int {
                val overlays = texts.drop(1).flatMapIndexed { i, text -> listOf("--overlay", "dc$i=${file(text)}") }
                return runProgram(listOf("config", "check", "--base", file(texts.first())) + overlays)
            }
            check(sound) shouldBe 0
            check(sound, """{"limits": {"max_order_step": null}}""") shouldBe 1
            check(sound, "{}", """{"classes": {"a": {"tier": 9}}}""") shouldBe 2
            check(sound, "{") shouldBe 2
            val nobody = "http://127.0.0.1:${ServerSocket(0).use { it.localPort }}"
            runProgram(listOf("--daemon", nobody, "config", "check", "--base", file(sound))) shouldBe 0
            runProgram(listOf("config", "check", "--base", "missing.jsonc")) shouldBe 2
            val twice = listOf("--overlay", "a=${file("{}")}", "--overlay", "a=${file("{}")}")
            runProgram(listOf("config", "check", "--base", file(sound)) + twice) shouldBe 2
        }

        test("check compares with the version in force without changing it, and says when it cannot") {
            val inForce = """{"version": 7, "base": $classes, "overlays": {"oviedo": {"limits": {}}}}"""
            val bodies = mapOf("/config" to inForce, "/organisations" to """{"acme": {"weight": 2}}""", "/keys" to "[]")
            val args = arrayOf("config", "check", "--base", file(sound))
            val answered = run(200, bodies, *args)
            answered.exitCode shouldBe 1
            answered.requests shouldBe listOf("GET /config", "GET /organisations", "GET /keys")
            answered.output shouldContain "warning: the organisations in force: $.acme: the organisation has no key"
            answered.output shouldContain "added upstreams.e in oviedo, data centres without an overlay\n"
            val asJson = Json.parseToJsonElement(run(200, bodies, *args, "--json").output).jsonObject
            asJson["version_in_force"] shouldBe JsonPrimitive(7)
            asJson["differences"]!!.jsonArray.size shouldBe 1
            val refused = run(401, "", *args)
            refused.exitCode shouldBe 0
            refused.output shouldContain "no comparison with the version in force: the daemon refused: status 401"
            run(200, "[]", *args).output shouldContain "not a configuration"
        }
    })
