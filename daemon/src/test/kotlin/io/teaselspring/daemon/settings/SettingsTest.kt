package io.teaselspring.daemon.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.teaselspring.core.ModelName
import java.nio.file.Path
import kotlin.io.path.createTempDirectory
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Surefire runs in the module's directory. */
private val readme = Path.of("../README.md")

private val directory: Path = createTempDirectory("settings").also { it.resolve("secret").writeText("s") }

private fun read(vararg replacements: Pair<String, String>) =
    readSettings(
        directory.resolve("agent.jsonc").also { file ->
            file.writeText(replacements.fold(VALID) { text, (from, to) -> text.replace(from, to) })
        },
    )

private val VALID =
    """
    {
      // An agent beside one engine.
      "role": "agent",
      "instance": "agent-1",
      "region": "norte",
      "data_centre": "oviedo",
      "operators_address": "127.0.0.1:0",
      "internal_address": "127.0.0.1:7001",
      "shared_secret_file": "secret",
      "operator_key_sha256": "${"ab".repeat(32)}",
      "limits": { "stream_idle_ms": 5000 },
      "upstream": "narradores",
      "upstream_url": "http://127.0.0.1:9000",
      "models": ["cuentos-7b"],
    }
    """.trimIndent()

class SettingsTest :
    FunSpec({
        test("a file with comments gives the settings, with defaults for what is absent") {
            val settings = read().getOrNull()!!
            settings.limits shouldBe RequestLimits(streamIdleMs = 5000)
            settings.agent?.models shouldBe listOf(ModelName("cuentos-7b"))
            settings.agent?.leavingHeader shouldBe "X-Leaving"
            val named = read("\"models\"" to "\"leaving_header\": \"Server-Leaving\", \"models\"")
            named.getOrNull()?.agent?.leavingHeader shouldBe "Server-Leaving"
            settings.sharedSecretFile shouldBe directory.resolve("secret")
            settings.isolationLimitMs shouldBe 600_000
        }

        test("every fault is reported with its path, so that an operator fixes them in one pass") {
            val faults =
                read(
                    "stream_idle_ms\": 5000" to "stream_idle_s\": 5",
                    "127.0.0.1:7001" to "localhost:7001",
                    "\"norte\"" to "7",
                    "\"models\"" to "\"modells\"",
                    "\"secret\"" to "\"absent\"",
                    "http://" to "ftp://",
                ).leftOrNull()!!
            faults.map { it.path } shouldContainExactlyInAnyOrder
                listOf(
                    "$.limits.stream_idle_s",
                    "$.internal_address",
                    "$.region",
                    "$.modells",
                    "$.shared_secret_file",
                    "$.upstream_url",
                )
            faults.first { it.path.endsWith("idle_s") }.allowed shouldBe "\"stream_idle_ms\", in that unit"
        }

        test("a file that is not JSON or that is absent is a fault of the whole file") {
            read("{" to "[").leftOrNull()!!.map { it.path } shouldBe listOf("$")
            readSettings(directory.resolve("nowhere")).leftOrNull()!!.map { it.path } shouldBe listOf("$")
        }

        // Guards against a README whose examples no longer start a process.
        test("the settings in the README are valid") {
            val examples = Regex("```jsonc\\n(.*?)```", RegexOption.DOT_MATCHES_ALL).findAll(readme.readText()).toList()
            examples.size shouldBe 2
            examples.forEachIndexed { i, example ->
                val file = directory.resolve("readme-$i.jsonc").also { it.writeText(example.groupValues[1]) }
                readSettings(file).leftOrNull() shouldBe null
            }
        }

        test("addresses outside the ranges are refused") {
            listOf("1.2.3.4", "1.2.3.256:80", "1.2.3.4:65536", "1.2.3.4:-1", ":80", "a.b.c.d:80").forEach {
                isAddress(it, anyPort = true) shouldBe false
            }
            isAddress("1.2.3.4:0", anyPort = false) shouldBe false
            isAddress("[::1]:80", anyPort = false) shouldBe true
        }
    })
