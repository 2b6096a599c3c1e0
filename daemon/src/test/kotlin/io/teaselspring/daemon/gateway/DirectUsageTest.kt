/*
 * Guards the usage counts against entries that are cut off at the end of a window, entries that stop, lost responses of
 * the store, and windows that are closed too early.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.teaselspring.core.Incarnation
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.capacity.GroupDemand
import io.teaselspring.core.capacity.decodeDemand
import io.teaselspring.core.placement.LatencyGroup
import io.teaselspring.core.usage.UsageWindow
import io.teaselspring.daemon.config.TABLE
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.daemon.usage.UsageReporter
import io.teaselspring.daemon.usage.UsageTable
import io.teaselspring.daemon.usage.entryKey
import io.teaselspring.ports.ABSENT
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private const val LENGTH_MS = 5_000L
private val hotel = OrganisationId("hotel")

private class Fleet {
    var nowMs = 0L

    /** Entries that were counted in each window. */
    val counted = mutableListOf<Int>()
    val platform = FakePlatform()
    private val clock =
        object : Clock {
            override fun now() = Instant.fromEpochMilliseconds(nowMs)
        }
    private val table = UsageTable(platform.platform.table)

    fun entry(name: String) = DirectUsage(Incarnation(name), table, clock, LENGTH_MS)

    /** The rows of the window that starts at [startMs]. */
    suspend fun rows(startMs: Long) = checkNotNull(table.entryRows(UsageWindow(startMs)).getOrNull()).values

    /** The generation of the store, null while it names none. */
    var generation: Long? = null

    /** Checks the windows for the reporter [name]. */
    fun completeness(name: String) =
        UsageCompleteness(
            Incarnation(name),
            table,
            clock,
            LENGTH_MS,
            allowedLateness = 7.seconds,
            { counted += it },
            { generation },
        )

    fun reporter(
        name: String = "reporter",
        completeness: UsageCompleteness = completeness(name),
    ) = UsageReporter(
        Incarnation(name),
        table,
        platform.platform.usage,
        clock,
        { 1 },
        LENGTH_MS,
        grace = 600.milliseconds,
        readiness = completeness::readiness,
    )

    /** The reported requests of [hotel] by window start. */
    fun reported(): Map<Long, Long> =
        platform.reports.associate { report ->
            val classes =
                report.figures["hotel"]
                    ?.jsonObject
                    ?.values
                    .orEmpty()
            report.window.toLong() to
                classes.sumOf {
                    it.jsonObject
                        .getValue("requests")
                        .jsonPrimitive.long
                }
        }
}

private fun DirectUsage.recordRequests(count: Int) = repeat(count) { recordRequest(hotel) }

class DirectUsageTest :
    FunSpec({
        test("a window is reported soon after its end when all entries have stored their counts") {
            val fleet = Fleet()
            val first = fleet.entry("a")
            val second = fleet.entry("b")
            first.recordRequests(3)
            second.recordRequests(4)
            fleet.nowMs = LENGTH_MS + 300
            first.flush()
            second.flush()
            fleet.nowMs = LENGTH_MS + 700
            fleet.reporter().reportDue()
            fleet.reported() shouldBe mapOf(0L to 7L)
            fleet.counted shouldBe listOf(2)
        }

        // Guards the store against a write for each change of the demand, and the shares against missing sums.
        test("demand by latency group is in the last row of its window and causes no write of its own") {
            val fleet = Fleet()
            val entry = fleet.entry("a")
            entry.recordRequests(1)
            entry.flush()
            var writes = 0
            fleet.platform.onApplied = { if (it.value != null) writes += 1 }
            val demand = GroupDemand(arrived = 1, sent = 1, promptTokens = 70, outputTokens = 8)
            repeat(2) { entry.recordDemand(UpstreamName("u"), LatencyGroup(1, 2), demand) }
            entry.flush()
            writes shouldBe 0
            fleet.nowMs = LENGTH_MS + 300
            entry.flush()
            // The last row of the window and the first one of the next.
            writes shouldBe 2
            decodeDemand(checkNotNull(fleet.rows(0).single().groups)) shouldBe
                mapOf(UpstreamName("u") to listOf(GroupDemand(), demand + demand))
            fleet.rows(LENGTH_MS).single().groups shouldBe null
        }

        test("usage is reported also where the demand by latency group is unreadable") {
            val fleet = Fleet()
            fleet.nowMs = LENGTH_MS + 700
            val count = """{"organisation":"hotel","class":"direct","requests":3}"""
            listOf("7", "{\"u\":[null]}", "null", "\"x\"").forEachIndexed { index, groups ->
                val row = """{"flush_id":"f","counts":[$count],"final":true,"groups":$groups}"""
                val key = entryKey(UsageWindow(0), Incarnation("e$index/1"))
                fleet.platform.platform.table
                    .put(TABLE, key, Json.parseToJsonElement(row), ABSENT)
            }
            fleet.reporter("e0/1").reportDue()
            fleet.reported() shouldBe mapOf(0L to 12L)
        }

        test("a window waits for an entry that is cut off, and includes its counts if they come in time") {
            val fleet = Fleet()
            val first = fleet.entry("a")
            val cutOff = fleet.entry("b")
            first.recordRequests(3)
            cutOff.recordRequests(4)
            fleet.nowMs = 2_500
            first.flush()
            cutOff.flush()
            cutOff.recordRequests(5)
            fleet.nowMs = LENGTH_MS + 300
            first.flush()
            fleet.nowMs = LENGTH_MS + 3_000
            val reporter = fleet.reporter()
            reporter.reportDue()
            fleet.reported() shouldBe emptyMap()
            fleet.nowMs = LENGTH_MS + 5_000
            cutOff.flush()
            reporter.reportDue()
            fleet.reported() shouldBe mapOf(0L to 12L)
        }

        test("a window waits also for an entry that had a row only in the window before") {
            val fleet = Fleet()
            val first = fleet.entry("a")
            val cutOff = fleet.entry("b")
            listOf(first, cutOff).forEach { it.recordRequests(1) }
            fleet.nowMs = LENGTH_MS + 300
            listOf(first, cutOff).forEach { it.flush() }
            cutOff.recordRequests(6)
            fleet.nowMs = 2 * LENGTH_MS + 300
            first.flush()
            fleet.nowMs = 2 * LENGTH_MS + 3_000
            val reporter = fleet.reporter()
            reporter.reportDue()
            fleet.reported() shouldBe mapOf(0L to 2L)
            cutOff.flush()
            reporter.reportDue()
            fleet.reported() shouldBe mapOf(0L to 2L, LENGTH_MS to 6L)
        }

        test("a window does not wait for a killed entry beyond the allowed lateness, nor for one that was drained") {
            val fleet = Fleet()
            val first = fleet.entry("a")
            val killed = fleet.entry("b")
            val stopped = fleet.entry("c")
            listOf(first, killed, stopped).forEach { it.recordRequests(2) }
            fleet.nowMs = 2_500
            listOf(first, killed).forEach { it.flush() }
            stopped.storeFinalCounts() shouldBe true
            fleet.nowMs = LENGTH_MS + 300
            first.flush()
            fleet.nowMs = LENGTH_MS + 6_999
            val reporter = fleet.reporter()
            reporter.reportDue()
            fleet.reported() shouldBe emptyMap()
            fleet.nowMs = LENGTH_MS + 7_000
            reporter.reportDue()
            fleet.reported() shouldBe mapOf(0L to 6L)
            // The killed entry might only be cut off, so the next window waits for it; the window after that does not.
            fleet.nowMs = 2 * LENGTH_MS + 300
            first.flush()
            fleet.nowMs = 2 * LENGTH_MS + 7_000
            reporter.reportDue()
            fleet.nowMs = 3 * LENGTH_MS + 300
            first.flush()
            fleet.nowMs = 3 * LENGTH_MS + 700
            reporter.reportDue()
            fleet.reported().keys shouldBe setOf(0L, LENGTH_MS, 2 * LENGTH_MS)
        }

        test("a window does not wait for an entry that is silent while another one stores") {
            val fleet = Fleet()
            val first = fleet.entry("a")
            val removed = fleet.entry("b")
            listOf(first, removed).forEach { it.recordRequests(2) }
            listOf(first, removed).forEach { it.flush() }
            first.recordRequests(3)
            fleet.nowMs = LENGTH_MS + 300
            first.flush()
            val reporter = fleet.reporter()
            fleet.nowMs = 2 * LENGTH_MS + 299
            reporter.reportDue()
            fleet.reported() shouldBe emptyMap()
            fleet.nowMs = 2 * LENGTH_MS + 300
            reporter.reportDue()
            fleet.reported() shouldBe mapOf(0L to 7L)
        }

        test("a window waits for all entries when the store recovers after it was unavailable for all") {
            val fleet = Fleet()
            val first = fleet.entry("a")
            val second = fleet.entry("b")
            listOf(first, second).forEach { it.recordRequests(2) }
            listOf(first, second).forEach { it.flush() }
            listOf(first, second).forEach { it.recordRequests(1) }
            fleet.nowMs = LENGTH_MS + 6_000
            first.flush()
            val reporter = fleet.reporter()
            reporter.reportDue()
            fleet.reported() shouldBe emptyMap()
            second.flush()
            reporter.reportDue()
            fleet.reported() shouldBe mapOf(0L to 6L)
        }

        test("a window does not wait for a killed process whose instance has a new one") {
            val fleet = Fleet()
            val killed = fleet.entry("a/1")
            killed.recordRequests(2)
            fleet.nowMs = 2_500
            killed.flush()
            val next = fleet.entry("a/2")
            next.recordRequests(3)
            fleet.nowMs = LENGTH_MS + 300
            next.flush()
            fleet.nowMs = LENGTH_MS + 700
            fleet.reporter().reportDue()
            fleet.reported() shouldBe mapOf(0L to 5L)
        }

        test("the final flush reports that it failed, and succeeds when the store has recovered") {
            val fleet = Fleet()
            val entry = fleet.entry("a")
            entry.recordRequests(3)
            fleet.platform.outage = true
            entry.storeFinalCounts() shouldBe false
            fleet.platform.outage = false
            entry.storeFinalCounts() shouldBe true
        }

        test("a lost response or request to the store neither loses nor duplicates counts") {
            val fleet = Fleet()
            val entry = fleet.entry("a")
            entry.recordRequests(3)
            fleet.platform.loseResponses = 1
            entry.flush()
            entry.recordRequests(2)
            fleet.platform.loseRequests = 1
            entry.flush()
            fleet.nowMs = LENGTH_MS + 300
            entry.flush()
            fleet.nowMs = LENGTH_MS + 700
            fleet.reporter().reportDue()
            fleet.reported() shouldBe mapOf(0L to 5L)
        }

        test(
            "a killed entry loses at most a twentieth of a window's requests, with no more writes than necessary",
        ) {
            listOf(5, 6, 10, 19, 20, 330).forEach { entries ->
                1.0 / DirectUsage.storesPerWindow(entries) / entries shouldBeLessThanOrEqual 0.05
            }
            DirectUsage.storesPerWindow(330) shouldBe 1
            DirectUsage.storesPerWindow(1) shouldBe 4
        }

        test("a window without requests is reported too") {
            val fleet = Fleet()
            val entry = fleet.entry("a")
            entry.flush()
            fleet.nowMs = LENGTH_MS + 300
            entry.flush()
            fleet.nowMs = LENGTH_MS + 700
            fleet.reporter().reportDue()
            fleet.reported() shouldBe mapOf(0L to 0L)
        }

        // Guards against a second report with other counts by a holder that cannot know of the first one.
        listOf(true, false).forEach { areAllAlive ->
            test("a window whose report a restore has undone keeps its counts, all alive: $areAllAlive") {
                val fleet = Fleet().also { it.generation = 1 }
                val names = listOf("a/1", "b/1")
                val entries = names.map { fleet.entry(it) }.onEach { it.storeAgain(1) }
                entries.forEach { it.flush() }
                val copy = fleet.platform.copy()
                entries.forEach { it.recordRequests(3) }
                fleet.nowMs = LENGTH_MS + 300
                entries.forEach { it.flush() }
                fleet.nowMs = LENGTH_MS + 700
                val first = fleet.reporter("a/1")
                first.reportDue()
                fleet.reported() shouldBe mapOf(0L to 6L)

                fleet.platform.restore(copy)
                fleet.generation = 2
                fleet.nowMs = LENGTH_MS + 2_000
                val completeness = fleet.completeness("b/1").also { it.storeRestored() }
                val second = fleet.reporter("b/1", completeness)
                val alive = if (areAllAlive) entries else entries.drop(1)
                if (areAllAlive) first.storeAgain()
                alive.forEach { it.storeAgain(2) }
                // The versions of before do not fit, so the first attempt reads the rows and the second writes them.
                repeat(2) { alive.forEach { it.flush() } }
                second.reportDue()
                fleet.nowMs = LENGTH_MS + 7_000
                second.reportDue()
                fleet.platform.reports
                    .map { it.figures }
                    .distinct()
                    .size shouldBe 1
            }
        }

        test("a window that was in progress at a restore is reported, also without an entry that ended there") {
            val fleet = Fleet().also { it.generation = 1 }
            val first = fleet.entry("a/1").also { it.storeAgain(1) }
            val ended = fleet.entry("b/1").also { it.storeAgain(1) }
            val copy = fleet.platform.copy()
            listOf(first, ended).forEach { it.recordRequests(3) }
            listOf(first, ended).forEach { it.flush() }
            fleet.platform.restore(copy)
            fleet.generation = 2
            fleet.nowMs = 2_000
            val completeness = fleet.completeness("a/1").also { it.storeRestored() }
            first.storeAgain(2)
            fleet.nowMs = LENGTH_MS + 300
            repeat(2) { first.flush() }
            fleet.nowMs = LENGTH_MS + 7_000
            fleet.reporter("a/1", completeness).reportDue()
            fleet.reported() shouldBe mapOf(0L to 3L)
        }

        test("rows of an earlier version, which name no generation, do not keep a window from being reported") {
            val fleet = Fleet().also { it.generation = 5 }
            val own = fleet.entry("a/1").also { it.storeAgain(5) }
            val earlier = fleet.entry("b/1")
            listOf(own, earlier).forEach { it.recordRequests(2) }
            fleet.nowMs = LENGTH_MS + 300
            listOf(own, earlier).forEach { it.flush() }
            fleet.nowMs = LENGTH_MS + 700
            fleet.reporter("a/1").reportDue()
            fleet.reported() shouldBe mapOf(0L to 4L)
        }
    })
