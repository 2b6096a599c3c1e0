/*
 * Guards against a part of a prompt that crashes instance after instance, because each entry sees only some of the
 * crashes, and against a remedy that refuses requests without that part.
 */
package io.teaselspring.experiment.prompts

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.teaselspring.core.placement.PromptPart

private val questions =
    PromptClass(
        "question",
        perSecond = 30.0,
        listOf(SharedPart(subjects = 40, Size(350.0, 0.5, 1_000.0))),
        ownTokens = Size(1_000.0, 0.8, 4_000.0),
        events = Size(29.0, 0.8, 80.0),
        targetMs = 300,
        eventGapMs = 250,
        deadlineMs = 10_000,
        priority = 0,
        worth = 1.0,
        lateWorth = 0.1,
    )

private val reports = reports(perSecond = 15.0, subjects = 100, meanEvents = 24.0)

private const val FROM_MS = 15_000L
private const val END_MS = 60_000L

/** Within this time after the evidence is complete, all entries have to act on it. */
private const val CONTACT_MS = 3_000L
private const val MAX_SENT = 3
private const val MIN_SOUND_SHARE = 0.5

private fun scenario(
    entries: Int,
    perSecond: Double,
    crashes: List<Crash> = emptyList(),
) = PromptScenario(
    "crashing-part",
    "a part of a prompt crashes each engine that begins to write",
    engines = 13,
    EngineFigures(memoryTokens = 604_279),
    listOf(questions, reports),
    entries = entries,
    durationMs = END_MS,
    faults =
        EngineFaults(
            crashes,
            CrashingPart(AddedPart(questions.name, PromptPart("crashing", 200), perSecond, FROM_MS), forMs = 5_000)
                .takeIf { perSecond > 0 },
        ),
    callers = Callers(returnWhenRefused = true),
)

private val ordinaryCrashes = List(6) { Crash(count = 1 + it % 3, atMs = 17_000 + it * 6_500L, forMs = 2_000) }

/** The part of the questions that arrived from [fromMs] to [toMs] and whose response was whole. */
private fun PromptFigures.served(
    fromMs: Long,
    toMs: Long,
): Double =
    outcomes
        .filter { it.request.profile.name == questions.name && it.request.arrivedMs in fromMs until toMs }
        .let { asked -> asked.count { it.isWhole }.toDouble() / asked.size }

class CrashingPartTest :
    FunSpec({
        listOf(5, 20, 100).forEach { entries ->
            test("a part that crashes engines reaches few of them behind $entries entries, and sound requests go on") {
                listOf(1L, 2L, 3L).forEach { seed ->
                    listOf(0.5, 2.0).forEach { perSecond ->
                        val figures = scenario(entries, perSecond, ordinaryCrashes).run(queuePolicy(), seed)
                        val evidenceMs = figures.crashing.crashedAtMs.let { it.getOrNull(4) ?: it.last() }
                        val sent = figures.crashing.outcomes.flatMap { it.sentAtMs }
                        withClue("seed $seed, $perSecond/s, ${figures.crashing.crashedAtMs.size} crashes") {
                            sent.count { it > evidenceMs + CONTACT_MS } shouldBeLessThanOrEqual MAX_SENT
                            val quiet = figures.served(0, FROM_MS)
                            figures.served(evidenceMs + 2 * CONTACT_MS, END_MS) shouldBeGreaterThanOrEqual
                                quiet * MIN_SOUND_SHARE
                        }
                    }
                }
            }
        }

        // Crashes of many engines at once, with cold caches and again and again, have nothing to do with a part.
        test("ordinary crashes refuse no part of a prompt") {
            val crashes = List(10) { Crash(count = 4, atMs = 500L + it * 2_500L, forMs = 1_000) }
            listOf(1L, 2L, 3L).forEach { seed ->
                val figures = scenario(entries = 20, perSecond = 0.0, crashes).run(queuePolicy(), seed)
                withClue("seed $seed") { figures.quarantinedRequests shouldBeLessThanOrEqual 0 }
            }
        }
    })
