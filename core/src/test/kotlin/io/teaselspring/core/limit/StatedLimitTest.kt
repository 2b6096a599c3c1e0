package io.teaselspring.core.limit

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

// Guards against a limit that is misread, kept after its end, or dropped because a response was overtaken.
class StatedLimitTest :
    FunSpec({
        test("the smallest readable value counts, and unreadable ones are ignored") {
            parseRequestsPerSecond(listOf("5")) shouldBe 5.0
            parseRequestsPerSecond(listOf(" 0.25 ")) shouldBe 0.25
            parseRequestsPerSecond(listOf("3, 2", "4")) shouldBe 2.0
            parseRequestsPerSecond(listOf("0")) shouldBe 0.0
            parseRequestsPerSecond(listOf("1000000000000")) shouldBe 1e12
            listOf("", "-1", "many", "NaN", "Infinity", "1e999").forEach {
                parseRequestsPerSecond(listOf(it)) shouldBe null
            }
            parseRequestsPerSecond(listOf("-1", "7")) shouldBe 7.0
        }

        test("a limit holds until a response to a later request states none") {
            val limit = StatedLimit()
            limit.record(listOf("2"), sentAtMs = 100, nowMs = 200)
            limit.perSecond shouldBe 2.0
            limit.record(emptyList(), sentAtMs = 150, nowMs = 300)
            limit.perSecond shouldBe 2.0
            limit.record(emptyList(), sentAtMs = 200, nowMs = 400)
            limit.perSecond shouldBe null
        }

        test("an unreadable value neither starts nor ends a limit") {
            val limit = StatedLimit()
            limit.record(listOf("soon"), sentAtMs = 100, nowMs = 200)
            limit.perSecond shouldBe null
            limit.record(listOf("2"), sentAtMs = 300, nowMs = 400)
            limit.record(listOf("soon"), sentAtMs = 500, nowMs = 600)
            limit.perSecond shouldBe 2.0
        }
    })
