/*
 * Guards against a cold instance that gets more requests than its upstream's warm-up allows, by its row, by its
 * responses or because it has just appeared, and against callers that wait for cold instances in vain.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.routing.RoutingConfig
import io.teaselspring.core.routing.UpstreamProperties
import io.teaselspring.core.routing.WarmUp
import io.teaselspring.daemon.eventually
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private const val PER_SECOND = 4.0
private const val MOST_IN_A_SECOND = (1.5 * PER_SECOND + 5).toInt()

/** Longer than any of the tests. */
private const val LONG_MS = 100_000L
private const val REQUESTS = 100

private class TimedUpstream(
    extra: () -> String = { "" },
) {
    private val start = TimeSource.Monotonic.markNow()
    val arrivedMs = CopyOnWriteArrayList<Long>()
    val upstream =
        ScriptedUpstream { request, output ->
            arrivedMs += start.elapsedNow().inWholeMilliseconds
            output.respond(request, extra = extra())
            ConnectionAction.KEEP
        }

    fun mostInASecond(): Int = arrivedMs.maxOfOrNull { end -> arrivedMs.count { it in end - 999..end } } ?: 0
}

private fun GatewaySite.configureWarmUp() {
    val plain = configOf(version = 2)
    val properties = UpstreamProperties(GatewaySite.UPSTREAM, WarmUp(LONG_MS, PER_SECOND))
    config.set("config", RoutingConfig(2, plain.routes, plain.organisations, upstreams = listOf(properties)))
}

private fun GatewaySite.register(
    id: String,
    upstream: TimedUpstream,
    warmUpLeftMs: Long?,
) = instances.set(
    id,
    RegisteredInstance(
        InstanceId(id),
        GatewaySite.UPSTREAM,
        upstream.upstream.address,
        DataCentre("oviedo"),
        slots = 64,
        isDraining = false,
        startedAtMs = 1,
        warmUpLeftMs,
    ),
)

private suspend fun GatewaySite.sendRequests(): List<String> =
    coroutineScope {
        List(REQUESTS) {
            delay(30.milliseconds)
            async { call(PLAIN) }
        }.awaitAll()
    }

class ColdInstanceTest :
    FunSpec({
        test("a cold instance gets its warm-up's requests, the others the rest, until its row says that it is warm") {
            val cold = TimedUpstream()
            val warm = TimedUpstream()
            withGateway {
                configureWarmUp()
                register("warm", warm, warmUpLeftMs = 0)
                eventually { call(PLAIN) shouldContain "done" }
                register("cold", cold, warmUpLeftMs = LONG_MS)
                val responses = sendRequests()
                responses.count { "done" in it } shouldBe REQUESTS
                cold.mostInASecond() shouldBeLessThanOrEqual MOST_IN_A_SECOND
                eventually {
                    call(PLAIN)
                    cold.arrivedMs.shouldNotBeEmpty()
                }
                register("cold", cold, warmUpLeftMs = 0)
                eventually {
                    val before = cold.arrivedMs.size
                    repeat(20) { call(PLAIN) }
                    cold.arrivedMs.size - before shouldBeGreaterThan 5
                }
            }
            cold.upstream.close()
            warm.upstream.close()
        }

        test("an instance that has just appeared counts as cold, one that says so in a response as well") {
            val appeared = TimedUpstream()
            val saying = TimedUpstream { "X-Warm-Up-Left-Ms: $LONG_MS\r\n" }
            val warm = TimedUpstream()
            withGateway {
                configureWarmUp()
                register("warm", warm, warmUpLeftMs = 0)
                eventually { call(PLAIN) shouldContain "done" }
                register("appeared", appeared, warmUpLeftMs = null)
                register("saying", saying, warmUpLeftMs = 0)
                sendRequests()
                listOf(appeared, saying).forEach { it.mostInASecond() shouldBeLessThanOrEqual MOST_IN_A_SECOND }
                warm.arrivedMs.size shouldBeGreaterThan REQUESTS / 2
            }
            listOf(appeared, saying, warm).forEach { it.upstream.close() }
        }

        test("while all instances are cold, requests without a permit are refused early as not run") {
            val cold = TimedUpstream()
            withGateway {
                configureWarmUp()
                register("cold", cold, warmUpLeftMs = LONG_MS)
                eventually { call(PLAIN) shouldNotContain "no instance" }
                val responses = sendRequests()
                cold.mostInASecond() shouldBeLessThanOrEqual MOST_IN_A_SECOND
                responses.count { "done" in it } shouldBeGreaterThan 0
                val refused = responses.filter { "all instances are cold" in it }
                refused.size shouldBeGreaterThan REQUESTS / 2
                refused.forEach {
                    withClue(it) {
                        it shouldContain "HTTP/1.1 503"
                        it shouldContain "not run"
                        val seconds = Regex("(?i)retry-after: ([0-9.]+)").find(it)!!.groupValues[1].toDouble()
                        seconds shouldBeGreaterThan 0.0
                        seconds shouldBeLessThan 5.0 / 3 + 0.001
                    }
                }
            }
            cold.upstream.close()
        }
    })
