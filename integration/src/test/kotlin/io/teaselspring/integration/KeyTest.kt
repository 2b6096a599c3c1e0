/*
 * Keys: who may run what, where a key may appear, and how a withdrawn key stops working.
 */
package io.teaselspring.integration

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldNotContain
import java.util.concurrent.TimeUnit

private const val LONG_STREAM_TOKENS = 1_500
private const val WITHDRAWAL_LIMIT_S = 10L

class KeyTest :
    FunSpec({
        val carriage = CarriageSite()
        val (first, second) = carriage.entries
        afterSpec { carriage.close() }

        // Guards against work that runs for a caller who showed no valid key.
        test("I3 without a valid key a request runs only on a route that is open to all") {
            send("GET", "${first.callers}/timetable/open").status shouldBe 200
            listOf(emptyMap(), mapOf("Authorization" to "Bearer tk-unknown")).forEach { headers ->
                val response = send("POST", "${first.callers}/bookings/no-key", "{}", headers)
                response.status shouldBe 401
                response.ran shouldBe "not run"
            }
            carriage.runsOn("/bookings/no-key") shouldBe 0
        }

        // Guards against an outcome that one organisation stored being shown to another one.
        test("I3 an idempotency key of one organisation gives nothing to another one") {
            val other = carriage.createKey("posada-del-puerto")
            carriage.awaitServing()
            val mine = carriage.book(first, "/bookings/shared", "same-name")
            mine.status shouldBe 200
            val theirs =
                await("the other key is known") {
                    carriage.book(first, "/bookings/shared", "same-name", other).takeIf { it.status != 401 }
                }
            theirs.status shouldBe 200
            theirs.body shouldNotBe mine.body
            carriage.runsOn("/bookings/shared") shouldBe 2
        }

        // Guards against a caller's key leaving the entry in a header, a log line, a metric or a dump.
        test("I4 a caller's key is in no journal, log, metric or state dump") {
            val secret = carriage.key.secret
            carriage.book(first, "/bookings/secret").status shouldBe 200
            val asApiKey = mapOf("X-Api-Key" to secret)
            send("POST", "${second.callers}/bookings/secret", "{}", asApiKey).status shouldBe 200
            carriage.stream(second, 5).end.join()
            // Either engine may have got the stream.
            carriage.engines.sumOf { it.journal().list("entries").size } shouldBeGreaterThan 0
            carriage.service
                .journal()
                .list("entries")
                .size shouldBeGreaterThan 0
            (carriage.engines + carriage.service).forEach { standIn ->
                val journal = standIn.journal()
                withClue(standIn.process.name) { journal.toString() shouldNotContain secret }
            }
            withClue("journal of the platform") {
                carriage.site.platform
                    .journal()
                    .toString() shouldNotContain secret
            }
            (carriage.entries + carriage.agents + carriage.serviceAgent).forEach { node ->
                listOf("/metrics", "/state").forEach { path ->
                    val response = node.operator("GET", path)
                    withClue("${node.name} $path") {
                        response.status shouldBe 200
                        response.body shouldNotContain secret
                    }
                }
            }
            // The tool prints the secret once, which is its purpose.
            carriage.site.host.logs().filterKeys { it != "ctl" }.forEach { (name, log) ->
                withClue("log of $name") { log shouldNotContain secret }
            }
        }

        fun withdrawWhileStreaming(
            key: Key,
            storeIsDown: Boolean,
        ) {
            carriage.entries.forEach { entry ->
                awaitTrue("${entry.name} knows the key") {
                    val body = chat(1, false)
                    send("POST", "${entry.callers}/v1/chat/completions", body, key.header).status == 200
                }
            }
            val streams = carriage.entries.map { carriage.stream(it, LONG_STREAM_TOKENS, key) }
            streams.forEach { stream -> awaitTrue("the stream has begun") { stream.data.size > 5 } }
            if (storeIsDown) carriage.site.platform.faults("""{"outage": true}""")
            val result = carriage.site.ctl(first, "key", "withdraw", key.id)
            withClue(result) {
                result.exitCode shouldBe 0
                Response(200, result.output).json["stored"].text shouldBe (!storeIsDown).toString()
            }
            streams.forEach { stream ->
                stream.end.get(WITHDRAWAL_LIMIT_S, TimeUnit.SECONDS)
                withClue(stream.data.takeLast(3)) { stream.isWhole shouldBe false }
            }
            carriage.entries.forEach { entry ->
                val response = send("POST", "${entry.callers}/v1/chat/completions", chat(1, false), key.header)
                withClue(entry.name) { response.status shouldBe 401 }
            }
        }

        // Guards against a stream that outlives the key of its caller.
        test("I5 a withdrawn key ends running streams at both entries within seconds") {
            carriage.withLogs { withdrawWhileStreaming(carriage.createKey("casa-rural-uno"), storeIsDown = false) }
        }

        // Guards against a withdrawal that waits for the store, and against one that is forgotten afterwards.
        test("I5 a withdrawn key stops working while the store is down and is stored afterwards") {
            val key = carriage.createKey("casa-rural-dos")
            try {
                carriage.withLogs { withdrawWhileStreaming(key, storeIsDown = true) }
            } finally {
                carriage.site.platform.faults("{}")
            }
            awaitTrue("the withdrawal is stored") {
                val keys = carriage.site.ctl(second, "key", "list", "--org", "casa-rural-dos").output
                "\"pending\": true" !in keys && "\"withdrawn_at_ms\": null" !in keys && key.id in keys
            }
        }
    })
