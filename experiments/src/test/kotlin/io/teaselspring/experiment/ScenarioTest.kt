package io.teaselspring.experiment

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

class ScenarioTest :
    FunSpec({
        fun short(name: String) =
            scenarios.first { it.name == name }.let {
                Scenario(
                    it.name,
                    it.description,
                    it.deployment,
                    80_000,
                    it.reportLagMs,
                    faults = it.faults,
                    demand = it.demand,
                )
            }

        // Guards against figures that depend on anything but the seed, such as the clock or the order of a hash map.
        test("the same seed gives the same report and another seed another one") {
            val first = short("straggler").report(5).toJson()
            short("straggler").report(5).toJson() shouldBe first
            short("straggler").report(6).toJson() shouldNotBe first
        }

        // Guards against requests that a policy drops without an end, which would distort its attainment.
        test("every request ends under every policy, and all work that was done is accounted for") {
            val scenario = short("burst-carriage")
            val jobs = scenario.jobs(3)
            jobs.size shouldBeGreaterThan 5000
            for (policy in allPolicies) {
                val result = scenario.run(policy, jobs, 3)
                result.outcomes.count { it.completedMs == null && !it.refused && !it.failed } shouldBe 0
                result.doneTokens shouldBeGreaterThan result.outcomes.sumOf { it.received }.toDouble()
            }
        }
    })
