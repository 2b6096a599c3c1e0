package io.teaselspring.core.orders

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import io.teaselspring.core.config.OpenHours
import io.teaselspring.core.config.Upstream
import io.teaselspring.core.config.UpstreamKind

private const val HOUR_MS = 3_600_000L
private val upstream = Upstream(UpstreamKind.PLAIN_SERVICE, minCount = 1, maxCount = 9, hours = OpenHours(8, 20))

// Guards against paying for instances of closed or idle upstreams, and against a count that oscillates.
class TargetCountTest :
    FunSpec({
        val policy = ScalingPolicy()

        test("opening hours may cross midnight and include the first hour but not the last") {
            fun openAt(
                from: Int,
                to: Int,
            ) = (0..23).filter { OpenHours(from, to).isOpenAt(it * HOUR_MS + 5 * 24 * HOUR_MS) }
            openAt(8, 11) shouldBe listOf(8, 9, 10)
            openAt(22, 2) shouldBe listOf(0, 1, 22, 23)
        }

        test(
            "the need follows the demand within the bounds, but a closed upstream only has to finish running requests",
        ) {
            val noonMs = 12 * HOUR_MS
            upstream.neededCount(UpstreamDemand(0, 0, 10), policy, noonMs) shouldBe 1
            upstream.neededCount(UpstreamDemand(10, 5, 10), policy, noonMs) shouldBe 3
            upstream.neededCount(UpstreamDemand(500, 500, 10), policy, noonMs) shouldBe 9
            upstream.neededCount(UpstreamDemand(0, 50, 10), policy, 2 * HOUR_MS) shouldBe 0
            upstream.neededCount(UpstreamDemand(4, 50, 10), policy, 2 * HOUR_MS) shouldBe 1
        }

        test(
            "scaling up is immediate, scaling down waits for the delay and goes to the highest need in that time",
        ) {
            checkAll(300, Arb.list(Arb.int(0..9), 1..80)) { needs ->
                var state = ScalingState(0)
                needs.forEachIndexed { index, need ->
                    val before = state.count
                    state = state.next(need, policy, index * 60_000L)
                    if (need > before) state.count shouldBe minOf(need, before + policy.maxStep)
                    if (state.count < before) {
                        (needs.subList(index - 10, index + 1).max() < before) shouldBe true
                        (state.count >= needs.subList(index - 10, index + 1).max()) shouldBe true
                    }
                }
            }
        }

        test(
            "an order that another epoch left pending is recorded again under a new number, one that was sent is not",
        ) {
            val pending = OrderRow(3, 7, 2, OrderState.PENDING, 0)
            pending.nextOrder(4, 2, 5) shouldBe OrderRow(4, 8, 2, OrderState.PENDING, 5)
            pending.nextOrder(3, 2, 5).shouldBeNull()
            pending.copy(state = OrderState.SENT).nextOrder(4, 2, 5).shouldBeNull()
            null.nextOrder(1, 2, 5) shouldBe OrderRow(1, 1, 2, OrderState.PENDING, 5)
        }
    })
