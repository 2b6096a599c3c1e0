package io.teaselspring.core.freshness

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.teaselspring.core.lease.ClockReading

// Guards against leases and usage windows that are based on a wrong store time.
class StoreClockTest :
    FunSpec({
        fun at(ms: Long) = ClockReading(ms, 1_000_000 + ms)

        test("the response with the shortest delay sets the estimate") {
            val clock = StoreClock()
            clock.nowMs(at(0)).shouldBeNull()
            clock.observe(50_000, at(0), at(100))
            clock.observe(50_100, at(0), at(900))
            clock.nowMs(at(1_000)) shouldBe 50_900
            clock.observe(51_890, at(1_900), at(1_980))
            clock.nowMs(at(2_000)) shouldBe 51_910
        }

        test("the best sample is replaced before the clocks have drifted apart") {
            val clock = StoreClock()
            clock.observe(50_000, at(0), at(0))
            clock.observe(59_900, at(10_000), at(10_001))
            clock.nowMs(at(10_001)) shouldBe 59_900
        }

        test("a delayed response does not make the time certain, though both clocks kept running") {
            val clock = StoreClock()
            clock.observe(50_000, at(0), at(10))
            clock.certainNowMs(at(10)) shouldBe 50_000
            // After a pause the process reads a response that is 5 s old, and its last prompt sample is over 10 s old.
            clock.observe(57_000, at(7_000), at(12_000))
            clock.certainNowMs(at(12_000)).shouldBeNull()
            clock.nowMs(at(12_000)) shouldBe 61_990
            clock.observe(62_000, at(12_000), at(12_010))
            clock.certainNowMs(at(12_010)) shouldBe 62_000
        }

        test("after a suspension the time is not certain until the next response of the store") {
            val clock = StoreClock()
            clock.observe(50_000, at(0), at(0))
            val resumedAt = ClockReading(200, 1_000_000 + 4_200)
            clock.certainNowMs(at(200)) shouldBe 50_200
            clock.certainNowMs(resumedAt).shouldBeNull()
            clock.observe(50_250, at(199), resumedAt)
            clock.certainNowMs(resumedAt).shouldBeNull()
            clock.observe(54_190, resumedAt, resumedAt)
            clock.certainNowMs(resumedAt) shouldBe 54_190
        }
    })
