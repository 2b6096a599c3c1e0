/*
 * Guards against an instance in need that gets more requests a second than the limit that it states for all entries
 * together: because entries ignore the limit, because each keeps it alone, or because idle entries send together.
 */
package io.teaselspring.experiment.prompts

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual

private fun questions(perSecond: Double) =
    PromptClass(
        "question",
        perSecond,
        listOf(SharedPart(subjects = 60, Size(350.0, 0.5, 1_000.0))),
        ownTokens = Size(300.0, 0.8, 1_000.0),
        events = Size(8.0, 0.8, 30.0),
        targetMs = 400,
        eventGapMs = 250,
        deadlineMs = 4_000,
        priority = 0,
        worth = 1.0,
        lateWorth = 0.1,
    )

private const val FROM_MS = 5_000L
private const val TO_MS = 25_000L
private const val END_MS = 34_000L
private const val CONTACT_MS = 3_000L
private const val WINDOW_MS = 4_000L

/** One and a half times the limit, and five requests more. */
private fun mostAllowed(perSecond: Double) = (1.5 * perSecond * WINDOW_MS / 1_000 + 5).toInt()

private const val MIN_SOUND_SHARE = 0.95
private const val MIN_USED_SHARE = 0.5

private fun scenario(
    entries: Int,
    engines: Int,
    perSecond: Double,
    limit: EngineLimit?,
) = PromptScenario(
    "limited-instance",
    "engines state a limit of requests a second for all entries together",
    engines,
    EngineFigures(memoryTokens = 604_279),
    listOf(questions(perSecond)),
    entries = entries,
    durationMs = END_MS,
    callers =
        Callers(
            returnWhenRefused = true,
            skew = 2.0,
            listOf(EntryStop(0, 12_000, 14_000), EntryStop(1, 16_000, 17_000)),
        ),
    faults = EngineFaults(limit = limit),
)

private fun PromptFigures.served(): Double =
    outcomes
        .filter { it.request.arrivedMs in FROM_MS until END_MS }
        .let { asked -> asked.count { it.isWhole }.toDouble() / asked.size }

private val seeds = listOf(1L, 2L, 3L)

class LimitedInstanceTest :
    FunSpec({
        listOf(5, 21, 100, 330).forEach { entries ->
            test("an instance with a limit gets no more than that from $entries entries, and others serve the rest") {
                listOf(0.5 to 130.0, 1.0 to 130.0, 5.0 to 130.0, 50.0 to 380.0).forEach { (limit, perSecond) ->
                    val engines = if (limit > 5) 4 else 13
                    seeds.forEach { seed ->
                        val stated = EngineLimit(engines = 1, limit, FROM_MS, TO_MS)
                        val figures = scenario(entries, engines, perSecond, stated).run(queuePolicy(), seed)
                        val quiet = scenario(entries, engines, perSecond, limit = null).run(queuePolicy(), seed)
                        withClue("limit $limit, seed $seed") {
                            listOf(true, false).forEach { onlyTold ->
                                figures.limited.mostWithin(WINDOW_MS, CONTACT_MS, onlyTold) shouldBeLessThanOrEqual
                                    mostAllowed(limit)
                            }
                            figures.served() shouldBeGreaterThanOrEqual quiet.served() * MIN_SOUND_SHARE
                        }
                    }
                }
            }

            test("when all instances of an upstream state a limit, $entries entries keep it and use it") {
                listOf(5.0, 50.0).forEach { limit ->
                    seeds.forEach { seed ->
                        val stated = EngineLimit(engines = 3, limit, FROM_MS, TO_MS)
                        val figures = scenario(entries, engines = 3, 250.0, stated).run(queuePolicy(), seed)
                        withClue("limit $limit, seed $seed") {
                            listOf(true, false).forEach { onlyTold ->
                                figures.limited.mostWithin(WINDOW_MS, CONTACT_MS, onlyTold) shouldBeLessThanOrEqual
                                    mostAllowed(limit)
                            }
                            figures.limited.perSecond(FROM_MS + CONTACT_MS, TO_MS) shouldBeGreaterThanOrEqual
                                3 * limit * MIN_USED_SHARE
                        }
                    }
                }
            }
        }
    })
