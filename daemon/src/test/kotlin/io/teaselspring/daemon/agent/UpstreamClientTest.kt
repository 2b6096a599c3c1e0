package io.teaselspring.daemon.agent

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.teaselspring.daemon.gateway.ConnectionAction
import io.teaselspring.daemon.gateway.ScriptedUpstream
import io.teaselspring.daemon.gateway.chunk
import io.teaselspring.daemon.gateway.respond
import io.teaselspring.daemon.gateway.streamHead
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.io.OutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

private const val MAX_SENT_BYTES = 20L * 1024 * 1024

// Guards against an agent whose memory goes into the body of a health check.
class UpstreamClientTest :
    FunSpec({
        suspend fun isHealthy(upstream: ScriptedUpstream) =
            withContext(Dispatchers.IO) {
                UpstreamClient("http://${upstream.address}", 60.seconds, 1.seconds).use { it.isHealthy(2.seconds) }
            }

        test("an upstream that sends a health response without end is not healthy") {
            val sentBytes = AtomicLong()
            val endless =
                ScriptedUpstream { request, output ->
                    output.streamHead(request)
                    generateSequence { "a".repeat(64 * 1024) }.forEach {
                        output.chunk(it)
                        if (sentBytes.addAndGet(it.length.toLong()) > MAX_SENT_BYTES) Thread.sleep(1)
                    }
                    ConnectionAction.CLOSE
                }
            endless.use { isHealthy(it) shouldBe false }
            sentBytes.get() shouldBeLessThan MAX_SENT_BYTES
        }

        test("an upstream is healthy by its status") {
            val sound =
                ScriptedUpstream { request, output ->
                    output.respond(request)
                    ConnectionAction.KEEP
                }
            sound.use { isHealthy(it) shouldBe true }
            val failing =
                ScriptedUpstream { request, output ->
                    output.respond(request, status = "500 Internal Server Error")
                    ConnectionAction.KEEP
                }
            failing.use { isHealthy(it) shouldBe false }
        }

        // A refusal that is written once more must not count for a request that the engine runs.
        test("no two requests share a connection, so that a response which is written twice reaches no later request") {
            val outputs = ConcurrentHashMap.newKeySet<OutputStream>()
            val doubling =
                ScriptedUpstream { request, output ->
                    outputs += output
                    output.respond(request)
                    output.respond(request, "again", "503 Service Unavailable")
                    ConnectionAction.KEEP
                }
            doubling.use { upstream ->
                withContext(Dispatchers.IO) {
                    UpstreamClient("http://${upstream.address}", 60.seconds, 1.seconds).use { client ->
                        repeat(5) { client.isHealthy(2.seconds) shouldBe true }
                    }
                }
                outputs.size shouldBe 5
            }
        }
    })
