package io.teaselspring.daemon.usage

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.teaselspring.core.ClassName
import io.teaselspring.core.Incarnation
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId
import io.teaselspring.core.usage.UsageWindow
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.daemon.milliseconds
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.TableWrite
import io.teaselspring.ports.UsageIntake
import io.teaselspring.ports.UsageReport
import io.teaselspring.protocol.UsageRecord
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.long
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Instant

private const val LENGTH_MS = 60_000L
private const val WINDOWS = 4
private const val GRACE_MS = 30_000L

private fun TestScope.clock() =
    object : Clock {
        override fun now() = Instant.fromEpochMilliseconds(testScheduler.currentTime)
    }

/** Requests in all figures of [report]. */
private fun requests(report: UsageReport): Long =
    report.figures.values.sumOf { classes ->
        (classes as JsonObject).values.sumOf { ((it as JsonObject)["requests"] as JsonPrimitive).long }
    }

/** The table as one agent reaches it, which is cut off from it now and then. */
private class CutOff(
    private val table: TableStore,
) : TableStore by table {
    var isCut = false

    override suspend fun transaction(writes: List<TableWrite>) =
        if (isCut) PlatformError.Unavailable("flush", "fake", "cut off").left() else table.transaction(writes)
}

/** What went wrong in one run. */
private class Wrong(
    val changedWindows: Int,
    val incompleteWindows: Int,
    val unreported: Long,
)

/**
 * Agents that produce and flush usage, some of it late, while each leader is killed between its last write to the table
 * and the report, between the report and the next write, or at a random moment, and the next one takes over.
 */
private class CrashRun(
    private val scope: TestScope,
    private val random: Random,
    private val isFrozen: Boolean,
) {
    private val platform = FakePlatform()
    private val table = UsageTable(platform.platform.table)
    private val clock = scope.clock()
    private val links = List(3) { CutOff(platform.platform.table) }
    private val agents =
        links.mapIndexed { index, link -> AgentUsage(Incarnation("a$index"), UsageTable(link), clock, LENGTH_MS) }
    private var leader: Job? = null
    private var sequence = 0L
    private var epoch = 0L

    private val intake =
        object : UsageIntake {
            override suspend fun report(
                report: UsageReport,
                maySend: () -> Boolean,
            ): Either<PlatformError, Unit> {
                maybeKill()
                platform.reports += report
                maybeKill()
                return Unit.right()
            }
        }

    suspend fun run(): Wrong {
        platform.beforeWrite = { delay(random.nextLong(1, 400)) }
        val loops =
            listOf(scope.launch { produce() }, scope.launch { cutOff() }) +
                agents.map { scope.launch { it.run(random) } }
        while (clock.now().toEpochMilliseconds() < LENGTH_MS * (WINDOWS + 2)) leaderUntilKilled()
        loops.forEach { it.cancelAndJoin() }
        links.forEach { it.isCut = false }
        agents.forEach { it.flush() }
        delay(2 * LENGTH_MS)
        // The last leader is not killed.
        epoch += 1
        repeat(20) { reportOnce(epoch) }
        val byWindow = platform.reports.groupBy { it.window }
        val stored =
            byWindow.keys.associateWith {
                reportBody(
                    table.sum(UsageWindow(it.toLong())).getOrElse { error("$it") },
                )
            }
        return Wrong(
            byWindow.values.count { same -> same.map { it.figures }.distinct().size > 1 },
            byWindow.count { (window, same) -> same.last().figures != stored[window] },
            sequence - byWindow.values.sumOf { requests(it.last()) },
        )
    }

    private suspend fun maybeKill() {
        if (random.nextInt(3) == 0) leader?.cancel()
        yield()
    }

    private suspend fun produce() {
        while (clock.now().toEpochMilliseconds() < LENGTH_MS * WINDOWS) {
            delay(random.nextLong(50, 800))
            sequence += 1
            val nowMs = clock.now().toEpochMilliseconds()
            val record = UsageRecord(sequence, RequestId("r"), OrganisationId("o"), ClassName("c"), 1, 1, nowMs)
            agents.random(random).record(Incarnation("e"), record)
        }
    }

    private suspend fun cutOff() {
        while (true) {
            delay(random.nextLong(5_000, 40_000))
            val link = links.random(random)
            link.isCut = true
            delay(random.nextLong(1_000, 60_000))
            link.isCut = false
        }
    }

    private suspend fun leaderUntilKilled() {
        epoch += 1
        val own = epoch
        val job =
            scope.launch {
                while (true) {
                    delay(1_000)
                    reportOnce(own)
                }
            }
        leader = job
        withTimeoutOrNull(random.nextLong(5_000, 60_000)) { job.join() }
        job.cancelAndJoin()
        leader = null
        // The successor waits until the lease is free.
        delay(12_000)
    }

    private suspend fun reportOnce(own: Long) {
        if (isFrozen) {
            UsageReporter(Incarnation("l$own"), table, intake, clock, { own }, LENGTH_MS).reportDue()
        } else {
            reportUnfrozen(own)
        }
    }

    /** The same steps without the closed and frozen rows: sum, report, mark. */
    private suspend fun reportUnfrozen(own: Long) {
        val nowMs = clock.now().toEpochMilliseconds()
        for (number in 0 until WINDOWS + 3) {
            val window = UsageWindow(number * LENGTH_MS)
            val isDue = nowMs >= window.startMs + LENGTH_MS + GRACE_MS
            if (!isDue || table.isReported(window).getOrElse { true }) continue
            val body = reportBody(table.sum(window).getOrElse { return })
            intake.report(UsageReport(window.id, own, "l$own", body))
            table.markReported(window, own)
        }
    }
}

// Guards against a window that is billed twice with different figures, and against usage that is never billed.
class UsageReporterTest :
    FunSpec({
        test("figures never change once reported and add up, over 100 seeds of leaders killed at any moment") {
            val (frozen, unfrozen) =
                listOf(true, false).map { isFrozen ->
                    val runs = mutableListOf<Wrong>()
                    repeat(100) { seed -> runTest { runs += CrashRun(this, Random(seed), isFrozen).run() } }
                    runs.toList()
                }
            mapOf("with" to frozen, "without" to unfrozen).forEach { (name, runs) ->
                println(
                    "$name frozen row: windows=${100 * WINDOWS} changed=${runs.sumOf { it.changedWindows }} " +
                        "incomplete=${runs.sumOf { it.incompleteWindows }} unreported=${runs.sumOf { it.unreported }}",
                )
            }
            frozen.sumOf { it.changedWindows + it.incompleteWindows } shouldBe 0
            frozen.sumOf { it.unreported } shouldBe 0
            unfrozen.sumOf { it.changedWindows } shouldBeGreaterThan 0
        }

        test("an entry stores the usage of an agent that died, once, and not what the agent stored") {
            runTest {
                val platform = FakePlatform()
                val table = UsageTable(platform.platform.table)
                val agent = AgentUsage(Incarnation("a"), table, clock(), LENGTH_MS)
                val entry = EntryUsage(Incarnation("e"), table, clock(), testTimeSource.milliseconds(), LENGTH_MS)
                (1L..5L).forEach { sequence ->
                    val record = UsageRecord(sequence, RequestId("r"), null, ClassName("c"), 1, 1, 0)
                    agent.record(Incarnation("e"), record)
                    entry.received(Incarnation("a"), record)
                    if (sequence == 3L) {
                        platform.loseResponses = 1
                        agent.flush()
                    }
                }
                agent.flushedSequence(Incarnation("e")) shouldBe 3
                entry.agentLost(Incarnation("a"))
                delay(31_000)
                platform.loseResponses = 1
                entry.takeOverLostAgents()
                entry.openCount() shouldBe 0
                // The agent was not dead after all; it finds that its records are stored.
                agent.flush()
                agent.openCount() shouldBe 0
                table
                    .sum(UsageWindow(0))
                    .getOrNull()
                    ?.single()
                    ?.requests shouldBe 5
            }
        }

        // The intake may be reached only after a pause of the process, and the lease may have ended by then.
        test("nothing is sent under a lease that ends between the figures and the send") {
            runTest {
                val platform = FakePlatform()
                val table = UsageTable(platform.platform.table)
                AgentUsage(Incarnation("a"), table, clock(), LENGTH_MS).flush()
                delay(200_000)
                var epoch: Long? = 1
                val sentUnder = mutableListOf<Long?>()
                val intake =
                    object : UsageIntake {
                        override suspend fun report(
                            report: UsageReport,
                            maySend: () -> Boolean,
                        ): Either<PlatformError, Unit> {
                            if (maySend()) sentUnder += epoch
                            for (later in listOf(null, 2L)) {
                                epoch = later
                                if (maySend()) sentUnder += later
                            }
                            return PlatformError.Unavailable("report", "fake", "not sent").left()
                        }
                    }
                UsageReporter(Incarnation("l"), table, intake, clock(), { epoch }, LENGTH_MS).reportDue()
                sentUnder shouldBe listOf(1L)
            }
        }

        test("nothing is reported without the lease or while the store is down") {
            runTest {
                val platform = FakePlatform()
                val table = UsageTable(platform.platform.table)
                AgentUsage(Incarnation("a"), table, clock(), LENGTH_MS).flush()
                delay(200_000)
                var epoch: Long? = null
                val reporter =
                    UsageReporter(Incarnation("l"), table, platform.platform.usage, clock(), { epoch }, LENGTH_MS)
                reporter.reportDue()
                epoch = 1
                platform.outage = true
                reporter.reportDue()
                platform.reports shouldBe emptyList()
                platform.outage = false
                reporter.reportDue()
                platform.reports.map { it.window } shouldBe listOf(UsageWindow(0).id, UsageWindow(LENGTH_MS).id)
            }
        }
    })
