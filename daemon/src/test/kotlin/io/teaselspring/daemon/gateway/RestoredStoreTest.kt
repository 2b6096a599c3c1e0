/*
 * Guards against state that was true before the store came back from an older copy and is not, or not known, since:
 * windows that are reported again with other counts, changes that a follower skips, a configuration that the copy
 * confirms although it is older, quarantines and drains that the copy does not know.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.lease.LeaseTimes
import io.teaselspring.core.quarantine.CrashReport
import io.teaselspring.core.quarantine.CrashedRequest
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.daemon.eventually
import io.teaselspring.ports.UsageReport
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A window a second, and a lease that is taken over within about a second. */
private val quickTimes =
    GatewayTimes(
        usageWindow = 1.seconds,
        stopLimit = 5.seconds,
        usageGrace = 200.milliseconds,
        usagePatience = 2.seconds,
        usageInterval = 200.milliseconds,
        leaseTimes =
            LeaseTimes(
                durationMs = 1_000,
                renewMs = 300,
                pollMs = 700,
                retryMs = 200,
                safetyMs = 200,
                marginMs = 100,
                orderDeadlineMs = 200,
            ),
    )
private const val ENTRIES = 3

private fun answering(onRequest: () -> Unit = {}) =
    ScriptedUpstream { request, output ->
        onRequest()
        output.respond(request)
        ConnectionAction.KEEP
    }

private fun requestsIn(report: UsageReport): Long =
    report.figures.values
        .flatMap { it.jsonObject.values }
        .sumOf {
            it.jsonObject
                .getValue("requests")
                .jsonPrimitive.long
        }

/** Sends a request every 50 ms through each entry that [isUp]. */
private suspend fun List<GatewaySite>.sendRequests(
    forMs: Long,
    isUp: (entry: Int) -> Boolean = { true },
) = coroutineScope {
    mapIndexed { entry, site ->
        async {
            repeat((forMs / REQUEST_INTERVAL_MS).toInt()) {
                if (isUp(entry)) runCatching { site.call(PLAIN) }
                delay(REQUEST_INTERVAL_MS)
            }
        }
    }.awaitAll()
}

private const val REQUEST_INTERVAL_MS = 50L

/** Whatever is restored: one figure a window, one holder an epoch, and epochs that never fall. */
private fun FakePlatform.checkReports() {
    reports.groupBy { it.window }.forEach { (window, reports) ->
        withClue("window $window: ${reports.map { "${it.holder} ${it.epoch} ${requestsIn(it)}" }}") {
            reports.map { it.figures }.distinct() shouldHaveSize 1
        }
    }
    reports.groupBy { it.epoch }.forEach { (epoch, reports) ->
        withClue("epoch $epoch") { reports.map { it.holder }.distinct() shouldHaveSize 1 }
    }
    reports.map { it.epoch }.shouldBeSorted()
}

private suspend fun FakePlatform.restoreAfterOutage(copy: Map<String, io.teaselspring.ports.Row>) {
    outage = true
    delay(400)
    restore(copy)
    outage = false
}

class RestoredStoreTest :
    FunSpec({
        listOf(0L, 350L, 700L).forEach { phaseMs ->
            test("each window is reported once, with all its requests, over two restores, $phaseMs ms into a window") {
                val platform = FakePlatform()
                val arrivedMs = CopyOnWriteArrayList<Long>()
                val upstream = answering { arrivedMs += System.currentTimeMillis() }
                withGateways(ENTRIES, upstream, platform = platform, times = quickTimes) { sites ->
                    coroutineScope {
                        val traffic = async { sites.sendRequests(forMs = 11_000) }
                        delay(1_000 - System.currentTimeMillis() % 1_000 + phaseMs)
                        delay(1_500)
                        repeat(2) {
                            val copy = platform.copy()
                            delay(2_500)
                            platform.restoreAfterOutage(copy)
                            delay(1_000)
                        }
                        traffic.await()
                        delay(3_500)
                    }
                    platform.checkReports()
                    val windows =
                        platform.reports
                            .map { it.window.toLong() }
                            .distinct()
                            .sorted()
                    withClue("windows without a gap") {
                        windows shouldBe (windows.first()..windows.last() step 1_000L).toList()
                    }
                    val reported = platform.reports.distinctBy { it.window }.sumOf(::requestsIn)
                    val arrived = arrivedMs.count { it >= windows.first() && it < windows.last() + 1_000 }
                    val requests =
                        platform.reports.map { report ->
                            val startMs = report.window.toLong()
                            val begun = arrivedMs.count { it >= startMs && it < startMs + 1_000 }
                            "$startMs by ${report.epoch}: ${requestsIn(report)} of $begun"
                        }
                    withClue("$reported reported of $arrived: $requests") {
                        reported.toInt() shouldBeInRange arrived * 95 / 100..arrived * 105 / 100
                    }
                }
            }
        }

        test("no window is reported twice with other counts if the holder ends right after a restore") {
            val platform = FakePlatform()
            withGateways(ENTRIES, answering(), platform = platform, times = quickTimes) { sites ->
                var ended: Int? = null
                coroutineScope {
                    val requests = async { sites.sendRequests(forMs = 9_000, isUp = { it != ended }) }
                    delay(2_000)
                    val copy = platform.copy()
                    delay(2_500)
                    platform.restoreAfterOutage(copy)
                    ended =
                        platform.reports
                            .last()
                            .holder
                            .substringBefore('/')
                            .removePrefix("entry-")
                            .toInt()
                    sites[checkNotNull(ended)].close()
                    requests.await()
                    delay(3_000)
                }
                platform.checkReports()
            }
        }

        test("a configuration is applied that was written between the copy and the versions of before") {
            withGateway(answering()) {
                val copy = config.copy()
                repeat(5) { config.set("config", configOf(version = 2L + it)) }
                call(PLAIN) shouldStartWith "HTTP/1.1 200"
                delay(SETTLE_MS)
                // Nothing fails: a poll waits over the restore, and the versions have passed the one it waits after.
                val others = List(9) { "other-$it" to configOf(version = 1) }
                restore(config, copy, listOf("config" to configOf(version = 10, keys = setOf("k2"))) + others)
                eventually { call(PLAIN) shouldStartWith "HTTP/1.1 401" }
            }
        }

        test("a copy with an older configuration does not confirm the newer one, until it is written again") {
            withGateway(answering()) {
                val copy = config.copy()
                config.set("config", configOf(version = 2, keys = setOf("k2")))
                eventually { call(PLAIN, key = "k2") shouldStartWith "HTTP/1.1 200" }
                restore(config, copy)
                delay(CONFIRMATION_MS)
                repeat(30) {
                    isReady() shouldBe false
                    delay(100)
                }
                config.set("config", configOf(version = 2, keys = setOf("k2")))
                eventually { isReady() shouldBe true }
                call(PLAIN, key = "k2") shouldStartWith "HTTP/1.1 200"
                call(PLAIN) shouldStartWith "HTTP/1.1 401"
            }
        }

        test("a quarantine outlasts a restore that loses its reports") {
            val rows = FakeWatchedTable<SharedRow>()
            withGateway(answering(), sharedRows = rows) {
                val copy = rows.copy()
                val now = STORE_START_MS + millisSinceStart()
                listOf(0L, 400L, 800L).forEach { ms ->
                    val crash = CrashedRequest(now + ms, InstanceId("i-$ms"), setOf("bad"))
                    rows.set("entry-$ms", SharedRow.Crashes(CrashReport(listOf(crash))))
                }
                eventually { ask("bad:10,own:1") shouldStartWith "HTTP/1.1 503" }
                restore(rows, copy)
                delay(SETTLE_MS)
                ask("bad:10,own:2") shouldStartWith "HTTP/1.1 503"
            }
        }

        test("an instance that was draining gets no requests when the copy says that it is ready") {
            val leaving = answering()
            withGateway(leaving, answering()) {
                val copy = instances.copy()
                instances.set(
                    "engine-0",
                    RegisteredInstance(
                        InstanceId("engine-0"),
                        GatewaySite.UPSTREAM,
                        leaving.address,
                        DataCentre("oviedo"),
                        slots = 64,
                        isDraining = true,
                        startedAtMs = 1,
                    ),
                )
                delay(SETTLE_MS)
                val before = leaving.requests.value.size
                restore(instances, copy)
                repeat(20) { call(PLAIN) shouldStartWith "HTTP/1.1 200" }
                delay(2 * SETTLE_MS)
                repeat(20) { call(PLAIN) shouldStartWith "HTTP/1.1 200" }
                leaving.requests.value.size shouldBe before
            }
        }
    })

/** Longer than the interval at which an entry polls its tables. */
private const val SETTLE_MS = 1_700L

/** Longer than an entry stays ready without a confirmation of its configuration. */
private const val CONFIRMATION_MS = 3_500L

private fun GatewaySite.ask(parts: String) = call(STREAM, headers = "X-Prompt-Parts: $parts\r\n")

/** Restores [table] from [copy] and applies [changes]; the responses of the store name its next generation. */
private suspend fun <T> GatewaySite.restore(
    table: FakeWatchedTable<T>,
    copy: FakeWatchedTable.State<T>,
    changes: List<Pair<String, T?>> = emptyList(),
) {
    platform.restore(platform.copy())
    table.restore(copy, changes)
    probeStore()
}
