/*
 * Tests the lasting work time on statements of an engine that is slowed down for some hundred milliseconds at a time.
 * Guards against placement that follows the newest statement: each change of a speed moves prompt parts.
 */
package io.teaselspring.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe
import io.teaselspring.core.InstanceId

private fun workTimeAfter(vararg statements: Pair<Long, Int>) =
    WorkTime().also { workTime -> statements.forEach { (atMs, pct) -> workTime.record(pct, atMs) } }

class WorkTimeTest :
    FunSpec({
        test("an instance that states nothing has the usual speed") {
            WorkTime().speed shouldBe 1.0
        }

        test("a slow moment changes nothing") {
            val slowMoment = (0L..600L step 20).map { 1_000 + it to 175 }
            workTimeAfter(0L to 70, *slowMoment.toTypedArray(), 1_700L to 70).lastingPct shouldBe 70
        }

        test("a slow moment at the first statement is corrected by the next one") {
            workTimeAfter(0L to 175, 900L to 70).lastingPct shouldBe 70
        }

        test("separate slow moments do not add up") {
            val moments = (1L..20L).flatMap { listOf(it * 1_000 to 175, it * 1_000 + 500 to 70) }
            workTimeAfter(0L to 70, *moments.toTypedArray()).lastingPct shouldBe 70
        }

        test("an instance that stays slow counts as slow, by its lowest statement") {
            val slow = (0L..4_000L step 400).map { 1_000 + it to if (it % 800 == 0L) 425 else 170 }
            workTimeAfter(0L to 70, *slow.toTypedArray()).lastingPct shouldBe 170
        }

        test("few statements over a long time do not show that an instance stays slow") {
            workTimeAfter(0L to 70, 10_000L to 175, 20_000L to 175, 30_000L to 175).lastingPct shouldBe 70
        }

        test("prompt parts are placed in proportion to speed, and as before on equal instances") {
            val ids = (1..30).map { InstanceId("engine-$it") }
            val speeds = ids.indices.map { if (it % 3 == 2) 100.0 / 170 else 100.0 / 70 }
            val parts = (1..20_000).map { "part-$it" }
            val placed = parts.groupingBy { part -> ids.indices.maxBy { rendezvousScore(part, ids[it], speeds[it]) } }
            val counts = placed.eachCount()
            val (slow, fast) = ids.indices.partition { it % 3 == 2 }
            val ratio = fast.sumOf { counts.getValue(it) } / 2.0 / slow.sumOf { counts.getValue(it) }
            ratio.shouldBeBetween(1.7 / 0.7 - 0.15, 1.7 / 0.7 + 0.15, 0.0)
            parts.take(500).forEach { part ->
                ids.maxBy { rendezvousScore(part, it, 1.0) } shouldBe ids.maxBy { rendezvousWeight(part, it) }
            }
        }
    })
