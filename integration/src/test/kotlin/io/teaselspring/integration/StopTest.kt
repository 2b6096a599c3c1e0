/*
 * Planned stops: nothing that runs is cut, and nothing new begins at what leaves.
 */
package io.teaselspring.integration

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private const val TOKENS = 300
private const val SETTLE_MS = 3_000L

class StopTest :
    FunSpec({
        val carriage = CarriageSite()
        val (first, second) = carriage.entries
        afterSpec { carriage.close() }

        fun received(engine: StandIn) = engine.journal().list("entries").map { it["received_at_ms"].text.toLong() }

        // Guards against new work at an upstream that leaves, and against a stop that cuts what runs there.
        test("I11 I12 an agent that stops finishes its stream and gets nothing new after a few seconds") {
            val expected = carriage.direct(TOKENS, "Stop the agent")
            val before = carriage.engines.map { received(it).size }
            val stream = carriage.stream(first, TOKENS, text = "Stop the agent")
            awaitTrue("the stream has begun") { stream.data.size > 5 }
            val index = carriage.engines.indices.first { received(carriage.engines[it]).size > before[it] }
            val stopped = carriage.agents[index]
            stopped.process.terminate()
            Thread.sleep(SETTLE_MS)
            val settled = received(carriage.engines[index]).size
            val responses =
                (0 until 12).map {
                    val url = "${carriage.entries[it % 2].callers}/v1/chat/completions"
                    send("POST", url, chat(2, false, "New $it"), carriage.key.header).status
                }
            stream.end.join()
            carriage.withLogs {
                withClue(stream.lines.takeLast(4)) {
                    stream.isWhole shouldBe true
                    stream.data shouldBe expected
                }
                responses.toSet() shouldBe setOf(200)
                received(carriage.engines[index]).size shouldBe settled
                stopped.process.awaitExit() shouldBe 0
            }
        }

        // Guards against a stop of an entry that cuts the callers connected to it.
        test("I12 an entry that stops finishes its streams and bookings") {
            val expected = carriage.direct(TOKENS, "Stop the entry")
            val stream = carriage.stream(second, TOKENS, text = "Stop the entry")
            awaitTrue("the stream has begun") { stream.data.size > 5 }
            carriage.service.faults("""{"delay_ms": 1500}""")
            val booking = sendAsync("POST", "${second.callers}/bookings/stop", "{}", carriage.key.header)
            awaitTrue("the booking runs") {
                send("GET", "${carriage.service.url}/load").json["running"].text != "0"
            }
            second.process.terminate()
            val booked = booking.join()
            stream.end.join()
            carriage.withLogs {
                withClue(booked) { booked.status shouldBe 200 }
                withClue(stream.lines.takeLast(4)) {
                    stream.isWhole shouldBe true
                    stream.data shouldBe expected
                }
                second.process.awaitExit() shouldBe 0
            }
        }
    })
