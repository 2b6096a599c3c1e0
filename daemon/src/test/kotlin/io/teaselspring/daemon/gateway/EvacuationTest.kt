/*
 * Guards against requests that reach an instance of an evacuated data centre: new ones, waiting ones, retries and
 * resumed streams, whatever happens to the store meanwhile.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.core.DataCentre
import io.teaselspring.core.routing.EvacuationOrder
import io.teaselspring.daemon.eventually
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

private const val PROMPT = "X-Prompt-Parts: shared:100, own:10\r\n"

private fun answering() =
    ScriptedUpstream { request, output ->
        if (request.line.contains(STREAM)) {
            output.streamHead(request)
            output.chunk("id: 1\ndata: a\n\n")
            output.lastChunk()
        } else {
            output.respond(request)
        }
        ConnectionAction.KEEP
    }

/** Runs [block] with one instance in the data centre aviles, and [gijon] in the one of that name. */
private suspend fun withTwoDataCentres(
    gijon: ScriptedUpstream,
    block: suspend GatewaySite.() -> Unit,
) {
    val aviles = answering()
    // The entry prefers instances of its own data centre for plain requests, so neither is there.
    withGateway(aviles, gijon, timeoutMs = 20_000) {
        add("engine-0", aviles, "aviles")
        add("engine-1", gijon, "gijon")
        block()
    }
}

private fun GatewaySite.evacuate(dataCentre: String) =
    config.set("evacuate/$dataCentre", EvacuationOrder(DataCentre(dataCentre)))

private fun GatewaySite.returnToService(dataCentre: String) = config.set("evacuate/$dataCentre", null)

/** Requests that [upstream] receives while 20 requests without and 20 with a prompt are sent. */
private fun GatewaySite.receivedBy(upstream: ScriptedUpstream): Int {
    val before = upstream.requests.value.size
    repeat(20) {
        call(PLAIN)
        call(STREAM, headers = "X-Prompt-Parts: shared$it:100, own$it:10\r\n")
    }
    return upstream.requests.value.size - before
}

class EvacuationTest :
    FunSpec({
        test("an evacuated data centre gets neither plain requests nor prompts until its row is deleted") {
            val gijon = answering()
            withTwoDataCentres(gijon) {
                eventually { receivedBy(gijon) shouldBeGreaterThan 5 }
                evacuate("gijon")
                eventually { receivedBy(gijon) shouldBe 0 }
                receivedBy(gijon) shouldBe 0
                returnToService("gijon")
                eventually { receivedBy(gijon) shouldBeGreaterThan 5 }
            }
        }

        test("of two evacuated data centres each returns with its own row") {
            val gijon = answering()
            val aviles = answering()
            withGateway(answering(), gijon, aviles) {
                add("engine-1", gijon, "gijon")
                add("engine-2", aviles, "aviles")
                evacuate("gijon")
                evacuate("aviles")
                eventually { receivedBy(gijon) + receivedBy(aviles) shouldBe 0 }
                returnToService("gijon")
                eventually { receivedBy(gijon) shouldBeGreaterThan 5 }
                receivedBy(aviles) shouldBe 0
            }
        }

        test("with all data centres evacuated a request is refused as not run") {
            val only = answering()
            withGateway(only) {
                evacuate("oviedo")
                eventually { call(ORDER) shouldStartWith "HTTP/1.1 503" }
                val received = only.requests.value.size
                call(ORDER) shouldContain "\"ran\":\"not run\""
                call(STREAM, headers = PROMPT) shouldContain "\"ran\":\"not run\""
                only.requests.value.size shouldBe received
            }
        }

        // Changes between two polls are seen as one: what counts is the last write.
        test("the last of several quick changes of the row holds") {
            val gijon = answering()
            withTwoDataCentres(gijon) {
                repeat(5) {
                    returnToService("gijon")
                    evacuate("gijon")
                }
                eventually { receivedBy(gijon) shouldBe 0 }
                receivedBy(gijon) shouldBe 0
                repeat(5) {
                    evacuate("gijon")
                    returnToService("gijon")
                }
                eventually { receivedBy(gijon) shouldBeGreaterThan 5 }
            }
        }

        test("an outage of the store ends no evacuation, and a row deleted meanwhile ends it afterwards") {
            val gijon = answering()
            withTwoDataCentres(gijon) {
                evacuate("gijon")
                eventually { receivedBy(gijon) shouldBe 0 }
                config.isUnavailable = true
                Thread.sleep(2_500)
                receivedBy(gijon) shouldBe 0
                returnToService("gijon")
                receivedBy(gijon) shouldBe 0
                config.isUnavailable = false
                eventually { receivedBy(gijon) shouldBeGreaterThan 5 }
            }
        }

        test("after a restore without the row an evacuation ends only with a complete read of the table") {
            val gijon = answering()
            withTwoDataCentres(gijon) {
                val copy = config.copy()
                evacuate("gijon")
                eventually { receivedBy(gijon) shouldBe 0 }
                config.isUnavailable = true
                platform.restore(platform.copy())
                probeStore()
                config.restore(copy)
                Thread.sleep(1_000)
                receivedBy(gijon) shouldBe 0
                config.isUnavailable = false
                eventually { receivedBy(gijon) shouldBeGreaterThan 5 }
            }
        }

        test("after a restore with the row the evacuation goes on") {
            val gijon = answering()
            withTwoDataCentres(gijon) {
                evacuate("gijon")
                eventually { receivedBy(gijon) shouldBe 0 }
                val copy = config.copy()
                returnToService("gijon")
                config.restore(copy)
                platform.restore(platform.copy())
                probeStore()
                eventually { receivedBy(gijon) shouldBe 0 }
                receivedBy(gijon) shouldBe 0
            }
        }

        // The choice for a retry is another one than that for the first attempt.
        test("a retry does not go to a data centre that was evacuated during the first attempt") {
            val gijon = answering()
            val mayFail = CountDownLatch(1)
            val failing =
                ScriptedUpstream { request, output ->
                    mayFail.await()
                    output.respond(request, status = "500 Internal Server Error")
                    ConnectionAction.KEEP
                }
            withGateway(failing) {
                var response = ""
                val caller = thread { response = call(PLAIN) }
                eventually { failing.requests.value.size shouldBe 1 }
                add("engine-1", gijon, "gijon")
                evacuate("gijon")
                Thread.sleep(2_000)
                mayFail.countDown()
                caller.join()
                response shouldStartWith "HTTP/1.1 50"
                gijon.requests.value.size shouldBe 0
            }
            gijon.close()
        }

        test("a stream that began before the evacuation ends as usual, and is not resumed there after a break") {
            val mayEnd = CountDownLatch(1)
            val gijon =
                ScriptedUpstream { request, output ->
                    output.streamHead(request)
                    output.chunk("id: 1\ndata: a\n\n")
                    mayEnd.await()
                    if (request.line.contains(RESUMED)) return@ScriptedUpstream ConnectionAction.RESET
                    output.lastChunk()
                    ConnectionAction.KEEP
                }
            val second = answering()
            withGateway(gijon) {
                add("engine-0", gijon, "gijon")
                val responses = arrayOf("", "")
                val callers =
                    listOf(STREAM, RESUMED).mapIndexed { index, route -> thread { responses[index] = call(route) } }
                eventually { gijon.requests.value.size shouldBe 2 }
                add("engine-1", second, "gijon")
                evacuate("gijon")
                // Longer than the entry waits between two reads of the registry.
                Thread.sleep(2_000)
                mayEnd.countDown()
                callers.forEach { it.join() }
                responses[0] shouldContain "\r\n0\r\n"
                second.requests.value.size + gijon.requests.value.size shouldBe 2
            }
            second.close()
        }

        // Engines are cold after the return, and each entry learns of it at the same time.
        test("traffic rises after the return to service instead of moving at once") {
            val mayEnd = CountDownLatch(1)
            val holding = { request: ReceivedRequest, output: OutputStream ->
                mayEnd.await()
                output.respond(request)
                ConnectionAction.KEEP
            }
            val aviles = ScriptedUpstream(holding)
            val gijon = ScriptedUpstream(holding)
            withGateway(aviles, gijon, timeoutMs = 20_000) {
                add("engine-0", aviles, "aviles")
                add("engine-1", gijon, "gijon")
                evacuate("gijon")
                Thread.sleep(6_000)
                val returnedMs = millisSinceStart()
                returnToService("gijon")
                // Long enough for the entry to see the deletion, short against the ramp of nearly 6 s.
                Thread.sleep(300)
                val callers = List(40) { thread { call(PLAIN) } }
                eventually { aviles.requests.value.size + gijon.requests.value.size shouldBe 40 }
                val elapsedMs = millisSinceStart() - returnedMs
                gijon.requests.value.size shouldBeLessThan (64 * elapsedMs / 5_000).toInt() + 2
                mayEnd.countDown()
                callers.forEach { it.join() }
            }
        }
    })
