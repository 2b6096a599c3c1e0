package io.teaselspring.core.registry

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

// Guards against requests to an instance that has said it is leaving or wants a pause, and against a burst afterwards.
class StatedAvailabilityTest :
    FunSpec({
        test("an instance that is leaving stays so, also after a pause") {
            val stated = StatedAvailability()
            stated.recordLeaving() shouldBe true
            stated.recordPause(1.seconds, 0)
            stated.recordLeaving() shouldBe false
            stated.at(500) shouldBe Availability.LEAVING
            stated.at(1_000_000) shouldBe Availability.LEAVING
        }

        test("nothing is admitted within any stated pause, whichever response arrives last, over 50 seeds") {
            repeat(50) { seed ->
                val random = Random(seed)
                val stated = StatedAvailability()
                var mustEndMs = 0L
                var nowMs = 0L
                repeat(200) {
                    nowMs += random.nextLong(0, 400)
                    if (random.nextInt(4) == 0) {
                        val pauseMs = random.nextLong(1, 2_000)
                        stated.recordPause(pauseMs.milliseconds, nowMs)
                        mustEndMs = maxOf(mustEndMs, nowMs + pauseMs + 1)
                    }
                    withClue("seed $seed, $nowMs ms") {
                        if (nowMs < mustEndMs) stated.admits(0, 8, nowMs) shouldBe false
                        stated.at(nowMs) shouldBe if (nowMs < mustEndMs) Availability.PAUSED else Availability.OPEN
                    }
                }
            }
        }

        // The clock is read in whole milliseconds, so up to one of them has passed already.
        test("a pause does not end early by a part of a millisecond") {
            val stated = StatedAvailability()
            stated.recordPause(250.4.milliseconds, 1_000)
            stated.admits(0, 8, 1_250) shouldBe false
            stated.admits(0, 8, 1_251) shouldBe false
            stated.admits(0, 8, 1_252) shouldBe true
        }

        test("requests come back gradually after a pause and without a bound later") {
            val stated = StatedAvailability()
            stated.admits(1_000, 8, 0) shouldBe true
            stated.recordPause(2.seconds, 0)

            fun admitted(afterMs: Long) = (0..100).first { !stated.admits(it, 8, stated.pausedUntilMs + afterMs) }
            admitted(0) shouldBe 1
            admitted(1_001) shouldBe 5
            stated.admits(1_000, 8, stated.pausedUntilMs + 2_001) shouldBe true
        }

        test("a pause is read from seconds with or without a fraction, and from nothing else") {
            parsePause(listOf("2")) shouldBe 2.seconds
            parsePause(listOf(" 0.25 ")) shouldBe 250.milliseconds
            parsePause(listOf("1", "3", "x")) shouldBe 3.seconds
            parsePause(listOf("1, 3")) shouldBe 3.seconds
            listOf("0", "-1", "NaN", "Infinity", "1e3", "", "soon", "Sat, 05 Dec 2026 16:00:00 GMT").forEach {
                withClue(it) { parsePause(listOf(it)) shouldBe null }
            }
            val huge = StatedAvailability()
            huge.recordPause(checkNotNull(parsePause(listOf("999999999999999999"))), 0)
            huge.pausedUntilMs shouldBeLessThanOrEqual 3_600_001
        }
    })
