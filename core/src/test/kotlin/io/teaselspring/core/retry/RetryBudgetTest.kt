package io.teaselspring.core.retry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.teaselspring.core.OrganisationId

class RetryBudgetTest :
    FunSpec({
        val a = OrganisationId("a")
        val b = OrganisationId("b")

        // Guards against retries that multiply the load in a partial outage, and against one organisation that uses up
        // the whole budget.
        test("retries are limited to a percentage of successes, with a minimum, for each organisation and in total") {
            val budget = RetryBudget()
            List(5) { budget.spend(a, 0) } shouldBe listOf(true, true, true, false, false)
            budget.spend(b, 0) shouldBe false
            repeat(100) { budget.succeeded(b, 1) }
            List(8) { budget.spend(b, 2) }.count { it } shouldBe 7
            budget.spend(a, 2) shouldBe false
        }

        // Guards against a budget that is never replenished, and against memory that grows with each organisation ever
        // seen.
        test("the budget is replenished with time and idle organisations are removed") {
            val budget = RetryBudget()
            repeat(3) { budget.spend(a, 0) }
            budget.spend(a, 10_000) shouldBe true
            repeat(500) { budget.succeeded(OrganisationId("o$it"), 20_000) }
            repeat(500) { budget.succeeded(OrganisationId("p$it"), 60_000) }
            budget.succeeded(b, 60_001)
            budget.size shouldBe 501
        }
    })
