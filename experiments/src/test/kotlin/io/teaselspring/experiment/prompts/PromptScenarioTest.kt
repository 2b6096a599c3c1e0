/*
 * Guards the decisions on requests with prompts under the loads that they are made for: several entries that do not
 * talk to each other, prefix caches that cannot hold everything, and bursts of long prompts beside short urgent ones.
 */
package io.teaselspring.experiment.prompts

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.teaselspring.core.InstanceId
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.experiment.EventLoop

class PromptScenarioTest :
    FunSpec({
        promptScenarios.forEach { scenario ->
            test("${scenario.name}: more worth than both baselines, and the urgent class meets its targets") {
                listOf(1L, 2L).forEach { seed ->
                    val own = scenario.run(queuePolicy(), seed)
                    val urgent = scenario.classes.minBy { it.priority }
                    withClue("seed $seed") {
                        listOf(prefixHash, leastLoaded).forEach { baseline ->
                            own.totalWorth shouldBeGreaterThan scenario.run(baseline, seed).totalWorth
                        }
                        own.readTokens shouldBeLessThan scenario.run(leastLoaded, seed).readTokens
                        own.worth.getValue(urgent.name) shouldBeGreaterThanOrEqual 0.95
                    }
                }
            }
        }

        test("an engine does not read a cached part again, and reads a more urgent prompt first") {
            val loop = EventLoop()
            val engine = PromptEngine(InstanceId("e"), loop, EngineFigures(memoryTokens = 100_000))
            val firsts = mutableListOf<String>()

            fun submit(
                name: String,
                ownTokens: Long,
                priority: Int,
            ) = engine.submit(
                EngineRequest(listOf(PromptPart("shared", 10_000), PromptPart(name, ownTokens)), 10, priority) {
                    if (name !in firsts) firsts += name
                },
            )
            submit("one", ownTokens = 1_000, priority = 2)
            loop.runUntil(10_000)
            engine.readTokens shouldBe 11_000
            submit("first", ownTokens = 4_000, priority = 2)
            submit("late", ownTokens = 4_000, priority = 2)
            submit("urgent", ownTokens = 4_000, priority = 0)
            loop.runUntil(20_000)
            engine.readTokens shouldBe 23_000
            firsts shouldBe listOf("one", "urgent", "first", "late")
        }

        test("an engine without memory for all puts the newest of the least urgent off and still ends each one") {
            val loop = EventLoop()
            val engine = PromptEngine(InstanceId("e"), loop, EngineFigures(memoryTokens = 4_000))
            val ended = mutableListOf<Int>()
            repeat(3) { number ->
                val prompt = listOf(PromptPart("own-$number", 1_000))
                engine.submit(EngineRequest(prompt, 800, priority = number) { isLast -> if (isLast) ended += number })
            }
            loop.runUntil(60_000)
            ended shouldBe listOf(0, 1, 2)
            engine.preempted shouldBeGreaterThan 0
        }
    })
