/*
 * What callers get when parts fail in the middle of their requests.
 */
package io.teaselspring.integration

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe

class OutcomeTest :
    FunSpec({
        val carriage = CarriageSite()
        val (first, second) = carriage.entries
        afterSpec { carriage.close() }

        // Guards against a second run of a repeated booking.
        test("I10 a repeat with the same idempotency key through the other entry runs once") {
            val original = carriage.book(first, "/bookings/repeat", "repeat-1")
            original.status shouldBe 200
            val repeat = carriage.book(second, "/bookings/repeat", "repeat-1")
            repeat.status shouldBe 200
            repeat.body shouldBe original.body
            carriage.runsOn("/bookings/repeat") shouldBe 1
        }

        // Guards against two entries that claim the same idempotency key at the same time.
        test("I10 concurrent repeats through both entries run at most once") {
            carriage.service.faults("""{"delay_ms": 300}""")
            val responses =
                (0 until 6)
                    .map { index ->
                        val headers = carriage.key.header + ("Idempotency-Key" to "race-1")
                        sendAsync("POST", "${carriage.entries[index % 2].callers}/bookings/race", "{}", headers)
                    }.map { it.join() }
            carriage.service.faults("{}")
            withClue(responses) { carriage.runsOn("/bookings/race") shouldBe 1 }
            responses.filter { it.status != 200 }.forEach { withClue(it) { it.ran shouldBe "outcome unknown" } }
        }

        // Guards against a short answer that a caller takes for the whole one.
        test("I8 a stream whose connection breaks at the engine is resumed byte for byte") {
            val expected = carriage.direct(60, "Resume me")
            carriage.engines.forEach { it.faults("""{"cut_after_events": 20}""") }
            val stream = carriage.stream(first, 60, text = "Resume me")
            awaitTrue("the stream has begun") { stream.data.size > 2 }
            carriage.engines.forEach { it.faults("{}") }
            stream.end.join()
            carriage.withLogs { withClue(stream.lines) { checkWholeOrError(stream, expected) } }
        }

        test("I8 an engine that is killed in the middle of a stream gives no short answer") {
            val expected = carriage.direct(150, "Kill me")
            val stream = carriage.stream(first, 150, text = "Kill me")
            awaitTrue("the stream has begun") { stream.data.size > 10 }
            val engine = carriage.engines.first { it.isStreaming() }
            engine.process.kill()
            stream.end.join()
            carriage.withLogs { withClue(stream.lines) { checkWholeOrError(stream, expected) } }
            carriage.site.restart(engine)
            carriage.awaitServing()
        }

        // Guards against a booking that runs again because its agent is gone, and against a false "not run".
        test("I9 I10 an agent killed in the middle of a booking leaves the outcome unknown and one run at most") {
            carriage.service.faults("""{"delay_ms": 1500}""")
            val booking =
                sendAsync("POST", "${first.callers}/bookings/crash", "{}", carriage.key.header)
            awaitTrue("the service runs the booking") {
                send("GET", "${carriage.service.url}/load").json["running"].text != "0"
            }
            carriage.serviceAgent.process.kill()
            val response = booking.join()
            carriage.withLogs {
                withClue(response) {
                    response.ran shouldBe "outcome unknown"
                    response.status shouldBe 502
                }
            }
            awaitTrue("the service has ended the booking") {
                send("GET", "${carriage.service.url}/load").json["running"].text == "0"
            }
            carriage.service.faults("{}")
            carriage.runsOn("/bookings/crash") shouldBeLessThanOrEqualTo 1
        }

        // Guards against a refusal that leaves the caller in doubt, or that is not true.
        test("I9 a booking without an agent is refused as not run, and has not run") {
            val response = carriage.book(second, "/bookings/no-agent", "no-agent-1")
            response.ran shouldBe "not run"
            carriage.runsOn("/bookings/no-agent") shouldBe 0
            carriage.serviceAgent.process = carriage.site.host.restart(carriage.serviceAgent.process)
            carriage.site.list(carriage.serviceAgent, "agent", "taquilla")
            val later =
                await("the claim of the refused booking is free") {
                    carriage.book(first, "/bookings/no-agent", "no-agent-1").takeIf { it.status == 200 }
                }
            later.status shouldBe 200
            carriage.runsOn("/bookings/no-agent") shouldBe 1
        }
    })

private fun StandIn.isStreaming() = journal().list("entries").any { it["outcome"].text == "open" }

/** A whole response equals what an engine gives by itself; anything else has to be an error, not an end. */
fun checkWholeOrError(
    stream: EventStream,
    expected: List<String>,
) {
    if (stream.isWhole) {
        stream.data shouldBe expected
    } else {
        val (status, failure) = stream.end.join()
        (stream.hasError || failure != null || status != 200) shouldBe true
    }
}
