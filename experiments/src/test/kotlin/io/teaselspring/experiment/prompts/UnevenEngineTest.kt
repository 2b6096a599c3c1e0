/*
 * Guards against load that is spread evenly over engines of unequal speed, whose slow ones then read prompts without
 * pause while fast ones are idle, and against entries that all run to the engine that looked fast a moment ago.
 */
package io.teaselspring.experiment.prompts

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan

class UnevenEngineTest :
    FunSpec({
        unevenScenarios.forEach { scenario ->
            test("${scenario.name}: no group of equally fast engines does 1.5 times its part of the work") {
                val figures = scenario.run(queuePolicy(), seed = 1)
                val byWorkTime =
                    figures.readTokensByEngine.withIndex().groupBy {
                        scenario.figures.workTimes.lastingPct(
                            it.index,
                        )
                    }
                val workMs = byWorkTime.mapValues { (pct, engines) -> engines.map { it.value * pct }.average() }
                withClue(workMs) { workMs.values.max() shouldBeLessThan 1.5 * workMs.values.average() }
            }

            test("${scenario.name}: more worth than with work times ignored") {
                listOf(1L, 2L).forEach { seed ->
                    val own = scenario.run(queuePolicy(), seed)
                    val ignoring = scenario.run(ignoreWorkTimes, seed)
                    withClue("seed $seed") { own.totalWorth shouldBeGreaterThan ignoring.totalWorth }
                }
            }
        }
    })
