/*
 * Guards against bursts in which long prompts are refused while shorter ones of the same class still find room.
 */
package io.teaselspring.experiment.prompts

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual

/** The rules demand that the largest tenth of a class is served at least half as often as the class. */
private const val LEAST_RATIO = 0.5

private fun List<PromptOutcome>.servedShare() = count { it.isWhole }.toDouble() / size

private fun List<PromptOutcome>.largestTenth() =
    sortedByDescending { outcome -> outcome.request.prompt.sumOf { it.tokens } }.take(size / 10)

class LargePromptTest :
    FunSpec({
        promptScenarios.filter { it.bursts.isNotEmpty() }.forEach { scenario ->
            test("${scenario.name}: the largest tenth of each class is served half as often as the class or more") {
                listOf(1L, 2L).forEach { seed ->
                    val byClass = scenario.run(queuePolicy(), seed).outcomes.groupBy { it.request.profile.name }
                    byClass.forEach { (name, outcomes) ->
                        val ratio = outcomes.largestTenth().servedShare() / outcomes.servedShare()
                        withClue("$name, seed $seed") { ratio shouldBeGreaterThanOrEqual LEAST_RATIO }
                    }
                }
            }
        }
    })
