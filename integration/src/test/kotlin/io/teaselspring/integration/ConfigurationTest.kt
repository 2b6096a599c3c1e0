/*
 * Changes of the configuration by several operators, with lost responses, and without the store.
 */
package io.teaselspring.integration

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.util.concurrent.CompletableFuture
import kotlin.io.path.readText

class ConfigurationTest :
    FunSpec({
        val carriage = CarriageSite()
        val (first, second) = carriage.entries
        val example = repositoryRoot.resolve("examples/carriage/base.jsonc").readText()
        afterSpec { carriage.close() }

        fun version(entry: Node) =
            entry
                .operator("GET", "/config")
                .json["version"]
                .text
                .toLong()

        fun baseWithTarget(targetMs: Int) =
            carriage.site
                .file(
                    "base-$targetMs.jsonc",
                    example.replace("\"first_token_target_ms\": 2500", "\"first_token_target_ms\": $targetMs"),
                ).toString()

        fun target(entry: Node) =
            entry
                .operator("GET", "/classes")
                .json["narrative"]["first_token_target_ms"]
                .text
                .toInt()

        // Guards against an operator who overwrites a change that he has not seen.
        test("I13 of two operators who edit the same version one wins and the other gets a conflict") {
            val basedOn = version(first)
            awaitTrue("both entries have the version") { version(second) == basedOn }
            val results =
                listOf(first to 2601, second to 2602)
                    .map { (entry, target) ->
                        val base = baseWithTarget(target)
                        CompletableFuture.supplyAsync {
                            target to
                                carriage.site.ctl(entry, "apply", "--base", base, "--based-on", basedOn.toString())
                        }
                    }.map { it.join() }
            carriage.withLogs {
                withClue(results) {
                    results.map { it.second.exitCode } shouldContainExactlyInAnyOrder listOf(0, 3)
                    val winner = results.first { it.second.exitCode == 0 }.first
                    carriage.entries.forEach { entry ->
                        awaitTrue("${entry.name} has the winner's change") { target(entry) == winner }
                    }
                    version(first) shouldBe basedOn + 1
                }
            }
        }

        // Guards against a change that is made twice, or reported as failed, when its response is lost.
        test("I13 a change whose response is lost is accepted once and is in effect everywhere") {
            val basedOn = version(first)
            carriage.site.platform.faults("""{"lose_responses": 1, "lose_path_prefix": "/"}""")
            val result = carriage.site.ctl(first, "apply", "--base", baseWithTarget(2700))
            carriage.site.platform.faults("{}")
            carriage.withLogs {
                withClue(result) { result.exitCode shouldBe 0 }
                carriage.entries.forEach { entry ->
                    awaitTrue("${entry.name} has the change") { target(entry) == 2700 }
                    version(entry) shouldBe basedOn + 1
                }
            }
        }

        // Guards against requests that need the store although they could do without it.
        test("I9 I13 without the store traffic goes on, and changes and keyed bookings are refused") {
            val basedOn = version(first)
            carriage.site.platform.faults("""{"outage": true}""")
            try {
                carriage.withLogs {
                    carriage.entries.forEach { entry ->
                        val url = "${entry.callers}/v1/chat/completions"
                        send("POST", url, chat(3, false), carriage.key.header).status shouldBe 200
                        carriage.book(entry, "/bookings/outage").status shouldBe 200
                    }
                    val keyed = carriage.book(first, "/bookings/keyed-outage", "outage-1")
                    keyed.ran shouldBe "not run"
                    carriage.runsOn("/bookings/keyed-outage") shouldBe 0
                    val refused = carriage.site.ctl(first, "org", "create", "too-late")
                    withClue(refused) { refused.exitCode shouldBe 5 }
                    val new =
                        carriage.site.entry(
                            "entry-3",
                            extra =
                                (carriage.entries + carriage.agents + carriage.serviceAgent)
                                    .joinToString(prefix = "\"seeds\": [", postfix = "],") { "\"${it.internal}\"" },
                        )
                    carriage.awaitServing(listOf(new))
                    version(new) shouldBe basedOn
                }
            } finally {
                carriage.site.platform.faults("{}")
            }
            val history = carriage.site.ctl(second, "config", "history").output
            history shouldContain "version"
            awaitTrue("changes are accepted again") {
                carriage.site.ctl(first, "org", "create", "in-time").exitCode == 0
            }
        }
    })
