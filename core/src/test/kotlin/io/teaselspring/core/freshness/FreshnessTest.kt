/*
 * Guards against serving from state that is older than its computed age: after a suspension of the machine, during
 * which the monotonic clock stops, and after reads with late responses.
 */
package io.teaselspring.core.freshness

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.teaselspring.core.lease.ClockReading

class FreshnessTest :
    FunSpec({
        fun at(ms: Long) = ClockReading(ms, 1_000_000 + ms)

        test("the age is unknown before the first read") {
            Freshness().ageMs(at(5)) shouldBe null
        }

        test("the age counts from when the read was sent") {
            val freshness = Freshness()
            freshness.recordRead(sentAt = at(100), now = at(900))
            freshness.ageMs(at(1_000)) shouldBe 900
        }

        test("a read that was overtaken by a newer one does not raise the age") {
            val freshness = Freshness()
            freshness.recordRead(sentAt = at(500), now = at(510))
            freshness.recordRead(sentAt = at(100), now = at(520))
            freshness.ageMs(at(600)) shouldBe 100
        }

        test("after a suspension the age is unknown until a read that was sent after it") {
            val freshness = Freshness()
            freshness.recordRead(sentAt = at(100), now = at(110))
            val resumedAt = ClockReading(200, 1_000_000 + 4_200)
            freshness.ageMs(resumedAt) shouldBe null
            freshness.recordRead(sentAt = at(150), now = resumedAt)
            freshness.ageMs(resumedAt) shouldBe null
            freshness.recordRead(sentAt = resumedAt, now = resumedAt)
            freshness.ageMs(resumedAt) shouldBe 0
        }

        test("after a jump of the wall clock the age is unknown, and known again after the next read") {
            val freshness = Freshness()
            freshness.recordRead(sentAt = at(100), now = at(110))
            val steppedBackAt = ClockReading(200, 1_000_000 - 2_000)
            freshness.ageMs(steppedBackAt) shouldBe null
            freshness.recordRead(sentAt = steppedBackAt, now = steppedBackAt)
            freshness.ageMs(ClockReading(300, 1_000_000 - 1_900)) shouldBe 100
        }
    })
