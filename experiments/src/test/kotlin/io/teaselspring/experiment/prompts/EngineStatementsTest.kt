/*
 * Guards against requests to engines that have said in their responses that they are leaving or want a pause, which the
 * registry does not tell, because entries ignore the response.
 */
package io.teaselspring.experiment.prompts

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.teaselspring.core.InstanceId
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.experiment.EventLoop
import kotlin.time.Duration.Companion.milliseconds

/** The rule allows so many requests of one entry at one engine in one pause. */
private const val MOST_IN_PAUSE = 2

/** The rate at an engine after its pause, against the rate before. */
private const val MOST_RETURNING = 2.0

private fun scenario(name: String) = statementScenarios.single { it.name == name }

private fun PromptScenario.with(release: EngineRelease) =
    PromptScenario(
        name,
        description,
        engines,
        figures,
        classes,
        bursts,
        entries,
        durationMs,
        EngineFaults(statements = EngineStatements(release = release)),
        callers,
        policies,
    )

private val seeds = mapOf(8 to listOf(1L, 2L, 3L), 34 to listOf(1L))

class EngineStatementsTest :
    FunSpec({
        seeds.forEach { (engines, seeds) ->
            seeds.forEach { seed ->
                test("$engines engines, seed $seed: a third pauses and gets nothing, and no burst after it") {
                    val own = scenario("prompts-pause-$engines").run(queuePolicy(), seed).statements
                    own.heardPauses shouldBeGreaterThan 0
                    own.mostInPause shouldBeLessThanOrEqual MOST_IN_PAUSE
                    own.afterPauses(afterMs = 0, forMs = 500).perSecond shouldBeLessThanOrEqual
                        MOST_RETURNING * own.beforePauses(forMs = 2_000).perSecond
                    withClue("the same policy that ignores the pauses") {
                        val ignoring = scenario("prompts-pause-$engines").run(ignoreStatements, seed).statements
                        ignoring.mostInPause shouldBeGreaterThan MOST_IN_PAUSE
                    }
                }

                test("$engines engines, seed $seed: a release without rows sends nothing late") {
                    val own = scenario("prompts-release-$engines").run(queuePolicy(), seed).statements
                    own.heardLeavings shouldBeGreaterThan 0
                    own.afterDrain shouldBe 0
                    withClue("the same policy that ignores that engines leave") {
                        val ignoring = scenario("prompts-release-$engines").run(ignoreStatements, seed).statements
                        ignoring.afterDrain shouldBeGreaterThan 0
                        ignoring.cutOff shouldBeGreaterThan own.cutOff
                    }
                }
            }
        }

        test("a release that writes its rows reaches also entries that ignore responses") {
            val release = EngineRelease(fromMs = 5_000, everyMs = 4_000, writesRow = true)
            val ignoring = scenario("prompts-release-8").with(release).run(ignoreStatements, seed = 1).statements
            ignoring.heardLeavings shouldBeGreaterThan 0
            ignoring.afterDrain shouldBe 0
        }

        test("an engine refuses requests until the end of its pause; a new process says nothing of the old one") {
            val loop = EventLoop()
            val engine = PromptEngine(InstanceId("e"), loop, EngineFigures(memoryTokens = 10_000))
            val view = EntryInstanceView(engine, loop)

            fun submit() = engine.submit(EngineRequest(listOf(PromptPart("own", 100)), 10, priority = 0) {})
            engine.pausedUntilMs = 2_000
            engine.statedPause shouldBe 2_000.milliseconds
            submit() shouldBe false
            loop.at(2_000) {}
            loop.runUntil(2_000)
            engine.statedPause.shouldBeNull()
            submit() shouldBe true
            engine.isLeaving = true
            val old = view.stated.also { it.recordLeaving() }
            view.admitsRequest shouldBe false
            submit() shouldBe true
            engine.crash()
            engine.restart()
            old.recordLeaving()
            engine.isLeaving shouldBe false
            view.admitsRequest shouldBe true
        }
    })
