/*
 * Guards against serving on knowledge that is older than it seems: after a suspension of the machine, during which
 * the monotonic clock stands still, and with reads that are answered late.
 */
package io.teaselspring.core.freshness

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.teaselspring.core.lease.ClockReading

class FreshnessTest :
    FunSpec({
        fun at(ms: Long) = ClockReading(ms, 1_000_000 + ms)

        test("nothing is shown before the first confirmed read") {
            Freshness().ageMs(at(5)) shouldBe null
        }

        test("the age counts from before the question") {
            val freshness = Freshness()
            freshness.confirmed(askedAt = at(100), now = at(900))
            freshness.ageMs(at(1_000)) shouldBe 900
        }

        test("a read that was overtaken by a newer one does not make the knowledge older") {
            val freshness = Freshness()
            freshness.confirmed(askedAt = at(500), now = at(510))
            freshness.confirmed(askedAt = at(100), now = at(520))
            freshness.ageMs(at(600)) shouldBe 100
        }

        test("after a suspension the age is unknown until a read that was asked after it") {
            val freshness = Freshness()
            freshness.confirmed(askedAt = at(100), now = at(110))
            val awake = ClockReading(200, 1_000_000 + 4_200)
            freshness.ageMs(awake) shouldBe null
            freshness.confirmed(askedAt = at(150), now = awake)
            freshness.ageMs(awake) shouldBe null
            freshness.confirmed(askedAt = awake, now = awake)
            freshness.ageMs(awake) shouldBe 0
        }

        test("after a jump of the wall clock the age is unknown, and known again after the next read") {
            val freshness = Freshness()
            freshness.confirmed(askedAt = at(100), now = at(110))
            val back = ClockReading(200, 1_000_000 - 2_000)
            freshness.ageMs(back) shouldBe null
            freshness.confirmed(askedAt = back, now = back)
            freshness.ageMs(ClockReading(300, 1_000_000 - 1_900)) shouldBe 100
        }
    })
