/*
 * Guards against a metastable overload: requests that run on an engine take the memory of its prefix cache and slow
 * each other, so that shared parts are prefilled again and again long after a burst has ended.
 */
package io.teaselspring.experiment.prompts

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual

private val reports = reports(perSecond = 40.0, subjects = 240, meanEvents = 25.0)

private val chats =
    PromptClass(
        "chat",
        perSecond = 30.0,
        listOf(SharedPart(subjects = 40, Size(500.0, 0.5, 1_000.0))),
        ownTokens = Size(500.0, 0.8, 2_000.0),
        events = Size(25.0, 0.8, 80.0),
        targetMs = 300,
        eventGapMs = 250,
        deadlineMs = 8_000,
        priority = 0,
        worth = 1.0,
        lateWorth = 0.1,
    )

private const val BURST_END_MS = 20_000L
private const val RECOVERY_MS = 10_000L
private const val END_MS = 60_000L

/** The part of requests that the design size demands to be in their targets. */
private const val IN_TARGET = 0.95

private fun scenario(
    entries: Int,
    bursts: List<Burst>,
) = PromptScenario(
    "burst-then-calm",
    "a burst of long prompts, then calm",
    engines = 12,
    EngineFigures(memoryTokens = 400_000, promptTokensPerMs = 50.0),
    listOf(reports, chats),
    bursts,
    entries,
    END_MS,
    callers = Callers(returnWhenRefused = true),
)

/** The part of the long requests after the recovery time that met their targets. */
private fun calmShare(
    entries: Int,
    bursts: List<Burst>,
    seed: Long,
): Double =
    scenario(entries, bursts)
        .run(queuePolicy(), seed)
        .outcomes
        .filter { it.request.profile.name == reports.name && it.request.arrivedMs >= BURST_END_MS + RECOVERY_MS }
        .let { outcomes -> outcomes.count { it.isInTarget }.toDouble() / outcomes.size }

class BurstRecoveryTest :
    FunSpec({
        val burst = Burst(reports.name, 3.0, fromMs = 10_000, forMs = BURST_END_MS - 10_000)
        listOf(5, 20, 100).forEach { entries ->
            test("engines behind $entries entries recover after a burst of long prompts") {
                listOf(1L, 2L).forEach { seed ->
                    withClue("seed $seed, no burst") {
                        calmShare(entries, emptyList(), seed) shouldBeGreaterThanOrEqual IN_TARGET
                    }
                    withClue("seed $seed, after a burst") {
                        calmShare(entries, listOf(burst), seed) shouldBeGreaterThanOrEqual IN_TARGET
                    }
                }
            }
        }
    })
