package io.teaselspring.core.usage

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import io.teaselspring.core.ClassName
import io.teaselspring.core.Incarnation
import io.teaselspring.core.OrganisationId
import kotlin.random.Random

private const val LENGTH_MS = 60_000L
private val AGENT = Incarnation("agent")

/** Rows with versions; a flush and a takeover are transactions on them. */
private class Rows {
    val agent = sortedMapOf<UsageWindow, Pair<Long, AgentUsageRow>>()
    val entry = HashMap<Pair<UsageWindow, Incarnation>, EntryUsageRow>()
    val closed = HashSet<UsageWindow>()

    fun latest() = agent.entries.lastOrNull()?.let { StoredAgentRow(it.key, it.value.first, it.value.second) }

    fun flush(plan: FlushPlan): Boolean {
        val previous = plan.previous
        val isUnchanged = previous == null || agent[previous.window]?.first == previous.rowVersion
        val isCurrent = (agent[plan.window]?.first ?: 0) == plan.currentVersion
        val isFirst = plan.absent.none { it in agent }
        if (listOf(isUnchanged, isCurrent, isFirst, plan.window !in closed).any { !it }) return false
        previous?.let { agent[it.window] = it.rowVersion + 1 to it.row }
        agent[plan.window] = plan.currentVersion + 1 to plan.current
        return true
    }

    fun total(): Long =
        (
            agent.values.flatMap {
                it.second.counts
            } + entry.values.flatMap { it.counts }
        ).sumOf { it.requests }
}

/** One agent and two entries; their steps are drawn from [random], and either side may stop at any moment. */
private class UsageRun(
    private val random: Random,
) {
    private val rows = Rows()
    private var serial = 0
    private val ledger = AgentLedger(LENGTH_MS, 0) { "f${++serial}" }
    private val entries = listOf(Incarnation("e0"), Incarnation("e1")).associateWith { EntryCopies(it, 0) }
    private val sequences = HashMap<Incarnation, Long>()
    private var nowMs = 0L
    private var produced = 0L
    var takenOver = 0

    fun run(): Boolean {
        repeat(120) { step() }
        // One side stops for good; the other stores the remaining records.
        if (random.nextBoolean()) entries.keys.forEach { takeOver(it) } else repeat(8) { flush(loseResponse = false) }
        return rows.total() == produced
    }

    private fun step() {
        nowMs += random.nextLong(4_000)
        when (random.nextInt(10)) {
            in 0..4 -> record(entries.keys.random(random))
            in 5..6 -> flush(loseResponse = random.nextInt(3) == 0)
            7 -> entries.forEach { (name, copies) -> copies.onFlushed(AGENT, ledger.storedSequence(name)) }
            8 -> takeOver(entries.keys.random(random))
            9 -> if (random.nextInt(4) == 0) rows.closed += usageWindowOf(nowMs - LENGTH_MS, LENGTH_MS)
        }
    }

    private fun record(entry: Incarnation) {
        val sequence = (sequences[entry] ?: 0) + 1
        sequences[entry] = sequence
        produced += 1
        val item = UsageItem(sequence, OrganisationId("o"), ClassName("c"), 1, 1, nowMs)
        ledger.record(entry, item)
        entries.getValue(entry).add(AGENT, item)
    }

    /** After a lost response, the row is read back and recognised by its flush id. */
    private fun flush(loseResponse: Boolean) {
        val plan = ledger.plan(nowMs) ?: return
        val isWritten = rows.flush(plan)
        if (isWritten && !loseResponse) return ledger.onFlushed(plan, plan.currentVersion + 1)
        if (plan.window in rows.closed) ledger.onWindowClosed(plan.window)
        val found = rows.agent[plan.window]
        if (isWritten && found?.second?.flushId == plan.current.flushId) {
            ledger.onFlushed(plan, found.first)
        } else {
            ledger.onRowRead(rows.latest())
        }
    }

    private fun takeOver(name: Incarnation) {
        val copies = entries.getValue(name)
        val window = usageWindowOf(nowMs, LENGTH_MS)
        val latest = rows.latest() ?: StoredAgentRow(window, 0, AgentUsageRow(""))
        val takeover = copies.takeover(AGENT, latest) ?: return
        takenOver += takeover.items.size
        rows.agent[latest.window] = latest.rowVersion + 1 to copies.agentRowCovering(takeover, "t${++serial}")
        rows.entry[window to name] = rows.entry[window to name].with(takeover, window, LENGTH_MS, "t")
        copies.onTakeoverStored(takeover)
    }
}

// Guards against usage that is billed twice or not at all when an agent or an entry stops.
class UsageTest :
    FunSpec({
        test("each record is stored exactly once whichever side stops, over 2000 seeds") {
            var takenOver = 0
            repeat(2000) { seed ->
                val run = UsageRun(Random(seed))
                (seed to run.run()) shouldBe (seed to true)
                takenOver += run.takenOver
            }
            takenOver shouldBeGreaterThan 2000
        }

        test("coverage contains exactly the sequences that were added, in any order") {
            checkAll(500, Arb.list(Arb.int(1..40), 0..40)) { added ->
                val coverage = added.fold(Coverage()) { sum, next -> sum.with(listOf(next.toLong())) }
                (1L..45L).filter { it in coverage } shouldBe added.map { it.toLong() }.distinct().sorted()
            }
        }

        test("usage that finished in a closed window goes into the current one and is marked as late") {
            var serial = 0
            val ledger = AgentLedger(LENGTH_MS, 0) { "f${++serial}" }
            ledger.onFlushed(checkNotNull(ledger.plan(0)), 1)
            ledger.record(Incarnation("e"), UsageItem(1, null, ClassName("c"), 2, 3, 50_000))
            ledger.plan(70_000)?.window shouldBe UsageWindow(0)
            ledger.onWindowClosed(UsageWindow(0))
            val plan = checkNotNull(ledger.plan(70_000))
            plan.window shouldBe UsageWindow(60_000)
            plan.current.counts shouldBe listOf(UsageCount(null, ClassName("c"), late = true, 1, 2, 3))
        }
    })
