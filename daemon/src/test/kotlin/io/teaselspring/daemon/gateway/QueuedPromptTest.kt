/*
 * Guards against streams that are started although they cannot end in time, and against refusals of this kind where
 * nothing switches them on.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.teaselspring.core.placement.StatedOutput
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay

private const val EVENTS = 10

/** Ten events of four tokens. */
private const val OUTPUT_TOKENS = 40
private const val STREAMS_SEEN = 110
private const val AT_ONCE = 5
private const val BUDGET_MS = 3_000

private fun stated(tokens: Int) =
    "X-Prompt-Parts: own:10\r\nX-Token-Count: 10,$tokens\r\nX-Length-Hint: $tokens\r\nX-Time-Budget-Ms: $BUDGET_MS\r\n"

class QueuedPromptTest :
    FunSpec({
        fun pacedUpstream() =
            ScriptedUpstream { request, output ->
                output.streamHead(request)
                repeat(EVENTS) {
                    output.chunk("id: $it\ndata: event $it\n\n")
                    // Well above the delays that join small packets on loopback and hide the pace.
                    Thread.sleep(15)
                }
                output.lastChunk()
                ConnectionAction.KEEP
            }

        listOf(true, false).forEach { fairShares ->
            test("a stream that cannot end in time is refused at once only with fair shares: $fairShares") {
                val upstream = pacedUpstream()
                val settings = GatewaySite.testSettings().copy(fairShares = fairShares)
                withGateway(upstream, settings = settings, timeoutMs = 10_000) {
                    // Few at a time, so that none waits too long in the queue.
                    repeat(STREAMS_SEEN / AT_ONCE) {
                        coroutineScope {
                            List(AT_ONCE) { async { call(STREAM, headers = stated(OUTPUT_TOKENS)) } }
                                .awaitAll()
                                .forEach { it shouldStartWith "HTTP/1.1 200" }
                        }
                    }
                    // Medians are up to 200 ms old.
                    delay(250)
                    val before = upstream.requests.value.size
                    val response = call(STREAM, headers = stated(OUTPUT_TOKENS * 1_000), id = "long")
                    if (fairShares) {
                        response shouldStartWith "HTTP/1.1 503"
                        response shouldContain "cannot end in time"
                        response shouldContain "not run"
                        val retryAfter = response.lowercase().substringAfter("retry-after: ").substringBefore("\r\n")
                        retryAfter.toDouble() shouldBeLessThan BUDGET_MS / 3_000.0
                        upstream.requests.value.size shouldBe before
                    } else {
                        response shouldStartWith "HTTP/1.1 200"
                    }
                    call(STREAM, headers = stated(OUTPUT_TOKENS), id = "short") shouldStartWith "HTTP/1.1 200"
                }
            }
        }

        test("statements of the output that are odd or missing are unknown") {
            val names = HeaderNames()
            val headers = DefaultHttpHeaders()
            headers.statedOutput(names) shouldBe StatedOutput.UNKNOWN
            headers[names.tokenCount] = "100, 200"
            headers[names.lengthHint] = "-5"
            headers.statedOutput(names) shouldBe StatedOutput(maxTokens = 200)
            headers[names.tokenCount] = "99999999999999999999"
            headers[names.lengthHint] = "50"
            headers.statedOutput(names) shouldBe StatedOutput(estimatedTokens = 50)
        }
    })
