/*
 * Guards against refused callers that come back together, before the backlog has drained, or too late for their own
 * time limit.
 */
package io.teaselspring.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import java.util.PriorityQueue
import kotlin.random.Random

private const val PRIORITY = 2
private const val PER_SECOND = 20

class ReturnSlotsTest :
    FunSpec({
        fun slotsAtRate(endMs: Long = 3_000) =
            ReturnSlots().apply { for (ms in 0 until endMs step 1_000L / PER_SECOND) recordStart(PRIORITY, ms) }

        test("without a start in the last seconds nothing is known") {
            slotsAtRate().delayMs(PRIORITY + 1, 10, 10_000, 3_000) shouldBe null
            slotsAtRate().delayMs(PRIORITY, 10, 10_000, 7_000) shouldBe null
        }

        test("the first caller comes back when the backlog has drained, the others in later slots") {
            val slots = slotsAtRate()
            val delays = List(20) { checkNotNull(slots.delayMs(PRIORITY, 30, 60_000, 3_000)) }
            delays.first() shouldBeInRange 1_400L..1_700L
            delays.zipWithNext().forEach { (one, next) -> next - one shouldBeInRange 90L..120L }
        }

        test("a delay is at least 0.1 s and at most a third of the remaining time, and never the same for many") {
            slotsAtRate().delayMs(PRIORITY, 0, 60_000, 3_000) shouldBe 100
            slotsAtRate().delayMs(PRIORITY, 0, 240, 3_000)!! shouldBeInRange 1L..80L
            val slots = slotsAtRate()
            val delays = List(50) { checkNotNull(slots.delayMs(PRIORITY, 200, 9_000, 3_000)) }
            delays.forEach { it shouldBeInRange 1_500L..3_000L }
            delays.shouldBeUnique()
        }

        /** Share of the callers that come back after a burst that is served, if they come back after [delayMs]. */
        fun servedReturns(delayMs: ReturnSlots.(waiting: Int, remainingMs: Long, nowMs: Long) -> Long?): Double {
            class Caller(
                val sinceMs: Long,
                val giveUpMs: Long,
                val isReturn: Boolean,
            )
            val slots = ReturnSlots()
            val arrivals = PriorityQueue<Caller>(compareBy { it.sinceMs })
            for (ms in 0 until 2_000L step 16) arrivals += Caller(ms, ms + 12_000, isReturn = false)
            for (ms in 2_000L until 20_000L step 100) arrivals += Caller(ms, ms + 12_000, isReturn = false)
            val waiting = ArrayDeque<Caller>()
            var returned = 0
            var returnsServed = 0
            for (nowMs in 0L until 20_000L step 10) {
                while (arrivals.isNotEmpty() && arrivals.peek().sinceMs <= nowMs) waiting += arrivals.poll()
                while (waiting.isNotEmpty() && nowMs - waiting.first().sinceMs >= 1_800) {
                    val refused = waiting.removeFirst()
                    val delay = slots.delayMs(waiting.size, refused.giveUpMs - nowMs, nowMs) ?: continue
                    returned += 1
                    arrivals += Caller(nowMs + delay, refused.giveUpMs, isReturn = true)
                }
                if (nowMs % (1_000 / PER_SECOND) == 0L && waiting.isNotEmpty()) {
                    slots.recordStart(PRIORITY, nowMs)
                    if (waiting.removeFirst().isReturn) returnsServed += 1
                }
            }
            returned shouldBeGreaterThan 30
            return returnsServed.toDouble() / returned
        }

        test("of the callers that come back after a burst, at least 0.8 are served, more than after a random delay") {
            val served = servedReturns { waiting, remainingMs, nowMs -> delayMs(PRIORITY, waiting, remainingMs, nowMs) }
            val random = Random(1)
            served shouldBeGreaterThan 0.8
            servedReturns { _, _, _ -> random.nextLong(300, 600) } shouldBeLessThan 0.8
        }
    })
