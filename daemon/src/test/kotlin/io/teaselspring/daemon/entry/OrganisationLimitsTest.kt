package io.teaselspring.daemon.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.config.Organisation
import io.teaselspring.daemon.config.Caller

private val caller = Caller(KeyId("k"), OrganisationId("org"))

// Guards against an entry that admits more than its share of the limits, and against a token bucket that never refills.
class OrganisationLimitsTest :
    FunSpec({
        test("an entry enforces its share of the rate and refills it with time") {
            var now = 0L
            val limits =
                OrganisationLimits(
                    { mapOf(caller.organisation to Organisation(requestsPerSecond = 8.0)) },
                    { 4 },
                    { now },
                )
            List(3) { limits.admit(caller).isRight() } shouldBe listOf(true, true, false)
            limits.admit(caller).leftOrNull()?.retryAfterMs shouldBe 500
            now = 500
            List(2) { limits.admit(caller).isRight() } shouldBe listOf(true, false)
        }

        test("a request that ends releases its place in the concurrency limit") {
            val limits =
                OrganisationLimits({ mapOf(caller.organisation to Organisation(maxConcurrent = 3)) }, { 2 }, { 0 })
            val releaseFirst = limits.admit(caller).getOrNull()!!
            limits.admit(caller).isRight() shouldBe true
            limits.admit(caller).isRight() shouldBe false
            releaseFirst()
            limits.admit(caller).isRight() shouldBe true
        }

        test("callers without an organisation or a limit are admitted") {
            val limits = OrganisationLimits({ emptyMap() }, { 1 }, { 0 })
            limits.admit(null).isRight() shouldBe true
            limits.admit(caller).isRight() shouldBe true
        }
    })
