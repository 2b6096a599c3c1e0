/*
 * Tests the planned shares. Guards against latency groups that starve beside idle engines, against plans that move
 * engines for small or short changes, and against usage rows that stop the planning.
 */
package io.teaselspring.core.capacity

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.GroupShares
import io.teaselspring.core.placement.LatencyGroup
import io.teaselspring.core.usage.UsageWindow
import kotlinx.serialization.json.Json

private val upstream = UpstreamName("narradores")
private const val INSTANCES = 31
private const val WINDOW_MS = 5_000L

private fun demand(vararg work: Long) = mapOf(upstream to work.map { GroupDemand(1, 1, promptTokens = it) })

/** A planner whose shares come into force when they are published. */
private class Planned {
    val planner = SharePlanner()
    var inForce = SharesInForce(GroupShares.INITIAL, isStored = true)
    private var window = 0L

    /** Records a window with the [work] of the groups and returns the shares that are published after it. */
    fun afterWindow(vararg work: Long): List<Double>? {
        window += 1
        planner.record(UsageWindow(window * WINDOW_MS), demand(*work))
        val shares = planner.plan(window * WINDOW_MS, { INSTANCES }) { inForce }[upstream] ?: return null
        inForce = SharesInForce(shares, isStored = true)
        return shares.fractions
    }
}

class SharePlannerTest :
    FunSpec({
        test("work counts output tokens tenfold, and unmet requests up to a factor of three") {
            workOf(GroupDemand(8, 8, 1_000, 50)) shouldBe 1_500.0
            workOf(GroupDemand(16, 8, 1_000, 50)) shouldBe 3_000.0
            workOf(GroupDemand(800, 8, 1_000, 50)) shouldBe 4_500.0
            workOf(GroupDemand(2, 8, 1_000, 50)) shouldBe 1_500.0
            workOf(GroupDemand(9, 0, 0, 0)) shouldBe 0.0
        }

        test("each group but the last has at least its initial share, one instance, and at most half of them") {
            sharesFor(listOf(0.0, 900.0, 100.0), 10)?.fractions shouldBe listOf(0.15, 0.5)
            sharesFor(listOf(900.0, 0.0, 100.0), 10)?.fractions shouldBe listOf(0.5, 0.15)
            sharesFor(listOf(0.0, 0.0, 100.0), 4)?.fractions shouldBe listOf(0.25, 0.25)
            sharesFor(listOf(200.0, 300.0, 500.0), 10)?.fractions shouldBe listOf(0.2, 0.3)
            listOf(sharesFor(listOf(0.0, 0.0), 10), sharesFor(listOf(1.0), 10), sharesFor(listOf(1.0, 1.0), 3))
                .forEach { it shouldBe null }
        }

        test("a new planner publishes after two windows, and then at most once in 10 s") {
            val planned = Planned()
            planned.afterWindow(400, 200, 400) shouldBe null
            planned.afterWindow(400, 200, 400) shouldBe listOf(0.4, 0.2)
            planned.afterWindow(100_000, 200, 400) shouldBe null
            planned.afterWindow(100_000, 200, 400)?.first() shouldBe 0.5
        }

        test("a change of at most a quarter or of at most one instance is not published") {
            val planned = Planned()
            repeat(2) { planned.afterWindow(400, 200, 400) }
            repeat(40) { planned.afterWindow(480, 200, 320) shouldBe null }
            val small = Planned()
            repeat(2) { small.afterWindow(125, 125, 750) shouldBe null }
            repeat(40) { small.afterWindow(155, 125, 720) shouldBe null }
        }

        test("a burst of one window moves the average by a quarter") {
            val planned = Planned()
            repeat(4) { planned.afterWindow(250, 250, 500) }
            planned.afterWindow(250, 1_250, 500)
            planned.afterWindow(250, 250, 500)
            planned.inForce.shares.of(1) shouldBe (0.4 plusOrMinus 0.03)
        }

        test("shares without a readable row are published again, and a window counts once") {
            val planned = Planned()
            repeat(4) { planned.afterWindow(400, 200, 400) }
            planned.inForce = planned.inForce.copy(isStored = false)
            planned.planner.record(UsageWindow(WINDOW_MS), demand(1, 1, 100_000))
            planned.afterWindow(400, 200, 400)?.first() shouldBe (0.4 plusOrMinus 0.01)
        }

        test("sums of entries are added, also while their configurations differ, and survive the row") {
            val counter = DemandCounter()
            counter.record(upstream, LatencyGroup(1, 2), GroupDemand(arrived = 1))
            counter.record(upstream, LatencyGroup(1, 2), GroupDemand(sent = 1, promptTokens = 70))
            val decoded = decodeDemand(checkNotNull(encodeDemand(counter.sums)))
            decoded shouldBe mapOf(upstream to listOf(GroupDemand(), GroupDemand(1, 1, 70)))
            sumOfDemand(listOf(decoded.orEmpty(), demand(5, 6, 7), emptyMap())).getValue(upstream) shouldContainExactly
                listOf(GroupDemand(1, 1, 5), GroupDemand(2, 2, 76), GroupDemand(1, 1, 7))
            encodeDemand(DemandCounter().sums) shouldBe null
            listOf("7", "[]", """{"a":7}""", """{"a":[{"sent":"x"}]}""", """{"a":[{"sent":1e40}]}""").forEach {
                decodeDemand(Json.parseToJsonElement(it)) shouldBe null
            }
        }
    })
