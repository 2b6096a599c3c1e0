/*
 * Guards against an instance in need that gets more requests a second than the limit that it states in its responses:
 * from one entry, from entries that share a store, and from an entry that has just started.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val WINDOW_MS = 4_000L
private const val CONTACT_MS = 3_000L

/** An instance that states a limit of [perSecond] in each response with [status], a stream or a plain one. */
private class LimitedUpstream(
    private val perSecond: Double,
    private val status: String = "200 OK",
) {
    private val start = TimeSource.Monotonic.markNow()
    private val arrivedMs = CopyOnWriteArrayList<Long>()
    val upstream =
        ScriptedUpstream { request, output ->
            arrivedMs += start.elapsedNow().inWholeMilliseconds
            val limit = "X-Request-Limit: $perSecond\r\n"
            if (request.line.contains(STREAM) && status == "200 OK") {
                output.streamHead(request, limit)
                output.chunk("id: 1\ndata: limited\n\n")
                output.lastChunk()
            } else {
                output.respond(request, "limited", status, extra = limit + NOT_RUN.takeIf { "503" in status }.orEmpty())
            }
            ConnectionAction.KEEP
        }

    val requests: Int get() = arrivedMs.size

    /** The most requests within the window, from the contact time after the first one on. */
    fun mostWithinWindow(): Int {
        val first = arrivedMs.minOrNull() ?: return 0
        val times = arrivedMs.filter { it >= first + CONTACT_MS }
        return times.maxOfOrNull { end -> times.count { it in end - WINDOW_MS + 1..end } } ?: 0
    }

    private companion object {
        const val NOT_RUN = "X-Not-Run: 1\r\n"
    }
}

private fun mostAllowed(perSecond: Double) = (1.5 * perSecond * WINDOW_MS / 1_000 + 5).toInt()

private fun unlimited() =
    ScriptedUpstream { request, output ->
        if (request.line.contains(STREAM)) {
            output.streamHead(request)
            output.chunk("id: 1\ndata: free\n\n")
            output.lastChunk()
        } else {
            output.respond(request, "free")
        }
        ConnectionAction.KEEP
    }

/** Sends a request every [INTERVAL] for longer than the contact time and the window. */
private suspend fun GatewaySite.sendRequests(send: GatewaySite.(Int) -> String): List<String> =
    coroutineScope {
        val end = TimeSource.Monotonic.markNow() + DURATION
        val responses = ArrayList<kotlinx.coroutines.Deferred<String>>()
        while (end.hasNotPassedNow()) {
            val number = responses.size
            responses += async { send(number) }
            delay(INTERVAL)
        }
        responses.awaitAll()
    }

private val DURATION = 8.seconds
private val INTERVAL = 40.milliseconds

class RequestLimitTest :
    FunSpec({
        test("an entry keeps limits stated in responses, refusals and errors, and others serve the rest") {
            val limited =
                listOf(
                    "200 OK",
                    "503 Service Unavailable",
                    "500 Internal Server Error",
                ).map { LimitedUpstream(1.0, it) }
            withGateway(*limited.map { it.upstream }.toTypedArray(), unlimited()) {
                val responses = sendRequests { call(PLAIN) }
                limited.forEach { it.mostWithinWindow() shouldBeLessThanOrEqual mostAllowed(1.0) }
                responses.count { "free" in it } shouldBeGreaterThan responses.size / 2
            }
        }

        test("an entry keeps the limit that an instance states in the heads of streams") {
            val limited = LimitedUpstream(1.0)
            withGateway(limited.upstream, unlimited()) {
                val responses = sendRequests { call(STREAM, headers = "X-Prompt-Parts: p${it % 7}:10,own$it:5\r\n") }
                limited.mostWithinWindow() shouldBeLessThanOrEqual mostAllowed(1.0)
                responses.count { "free" in it } shouldBeGreaterThan responses.size / 2
            }
        }

        test("entries that share a store keep the limit together") {
            val limited = LimitedUpstream(1.0)
            val free = unlimited()
            withGateways(entries = 6, limited.upstream, free) { sites ->
                coroutineScope { sites.map { async { it.sendRequests { call(PLAIN) } } }.awaitAll() }
                withClue("${limited.requests} requests in all") {
                    limited.mostWithinWindow() shouldBeLessThanOrEqual mostAllowed(1.0)
                }
            }
        }

        test("a limit of 0 leaves a trickle that finds out when the limit has ended") {
            val limited = LimitedUpstream(0.0)
            withGateway(limited.upstream, unlimited()) {
                sendRequests { call(PLAIN) }
                limited.mostWithinWindow() shouldBeLessThanOrEqual mostAllowed(0.0)
                limited.requests shouldBeGreaterThan 1
            }
        }

        test("requests that no instance may take wait by priority, and are refused with the time of the next permit") {
            val limited = LimitedUpstream(5.0)
            withGateway(limited.upstream) {
                val responses = sendRequests { call(PLAIN, key = if (it % 2 == 0) SITE_KEY else URGENT_KEY) }
                limited.mostWithinWindow() shouldBeLessThanOrEqual mostAllowed(5.0)
                val (plain, urgent) = responses.withIndex().partition { it.index % 2 == 0 }
                val servedUrgent = urgent.count { "limited" in it.value }
                servedUrgent shouldBeGreaterThan 4 * plain.drop(2).count { "limited" in it.value }
                val refusal = responses.last { "limited" !in it }
                refusal shouldContain "not run"
                refusal.substringAfter("Retry-After: ").substringBefore("\r\n").toDouble() shouldBeLessThan 2.0
            }
        }
    })
