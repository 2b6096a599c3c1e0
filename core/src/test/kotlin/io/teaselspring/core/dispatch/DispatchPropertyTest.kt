package io.teaselspring.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import io.teaselspring.core.InstanceId
import kotlin.random.Random

private const val AGENTS = 5
private val agents = List(AGENTS) { InstanceId("agent-$it") }
private val firstAgent: ChooseAgent = { tried, _, _ -> agents.firstOrNull { it !in tried } }

private fun busy(retryAfterMs: Long) = DispatchEvent.NotRun(NotRunCause.BUSY, retryAfterMs)

private fun request(
    idempotent: Boolean = false,
    resumable: Boolean = false,
) = DispatchRequest(tier = 1, idempotent = idempotent, resumable = resumable, deadlineMs = 10_000)

class DispatchPropertyTest :
    FunSpec({
        // Guards against unbounded offers, a "not run" outcome after an attempt that may have run (I9), a second run of
        // a request that must not be repeated (I10), and a negative retry-after.
        test("offers are bounded and the outcome is correct for any sequence of agent responses") {
            checkAll(PropTestConfig(seed = 7, iterations = 2000), Arb.long()) { seed ->
                val random = Random(seed)
                val request = request(random.nextBoolean(), random.nextBoolean())
                var budget = random.nextInt(5)
                val dispatch = Dispatch(request, firstAgent) { budget-- > 0 }
                var lost = 0
                var offers = 0
                var offset = 0L
                var action = dispatch.step(DispatchEvent.Begin, 0)
                var nowMs = 0L
                while (action is DispatchAction.Offer) {
                    offers += 1
                    action.attempt shouldBe offers
                    action.resumeOffset shouldBe offset
                    nowMs += random.nextLong(20)
                    val passed = offset > 0 || random.nextInt(4) == 0
                    if (passed) dispatch.step(DispatchEvent.Progress(++offset), nowMs) shouldBe DispatchAction.Wait
                    action =
                        when (random.nextInt(if (passed) 2 else 5)) {
                            0 -> dispatch.step(DispatchEvent.Lost, nowMs).also { lost += 1 }
                            1 -> dispatch.step(DispatchEvent.Finished(offset + 1), nowMs).also { lost += 1 }
                            2 -> dispatch.step(DispatchEvent.NotSent, nowMs)
                            else -> dispatch.step(busy(random.nextLong(3000)), nowMs)
                        }
                }
                offers shouldBeLessThanOrEqual 2 * AGENTS * (lost + 1)
                if (!request.idempotent && !request.resumable) lost shouldBeLessThanOrEqual 1
                if (lost > 0) action::class shouldBe DispatchAction.FailUnknown::class
                (action as? DispatchAction.Refuse)?.let { it.retryAfterMs shouldBeGreaterThanOrEqualTo 0L }
            }
        }

        // Guards against displacing lower tiers while an agent may still have free capacity.
        test("the displacing pass begins only after every agent has refused") {
            val dispatch = Dispatch(request(), firstAgent) { false }
            var action = dispatch.step(DispatchEvent.Begin, 0)
            val offers = mutableListOf<DispatchAction.Offer>()
            while (action is DispatchAction.Offer) {
                offers += action
                action = dispatch.step(busy(1000L + offers.size), offers.size * 10L)
            }
            offers.map { it.agent to it.displace } shouldContainExactly
                agents.map { it to false } + agents.map { it to true }
            // An agent's second refusal replaces its first. The shortest is 1006 ms, reported 40 ms before the end.
            action shouldBe DispatchAction.Refuse(429, "no capacity", 966)
        }

        // Guards against a response that is reported complete although chunks are missing (I8).
        test("an incomplete response is resumed at the caller's offset on another agent") {
            val dispatch = Dispatch(request(resumable = true), firstAgent) { true }
            dispatch.step(DispatchEvent.Begin, 0)
            dispatch.step(DispatchEvent.Progress(3), 1)
            dispatch.step(DispatchEvent.Finished(5), 2) shouldBe DispatchAction.Offer(agents[1], 2, false, 3)
            dispatch.step(DispatchEvent.Progress(5), 3)
            dispatch.step(DispatchEvent.Finished(5), 4) shouldBe DispatchAction.Complete
        }

        // Guards against offers after the caller's deadline and for a withdrawn key.
        test("an expired deadline and a withdrawn key end the request as not run") {
            val late = Dispatch(request(), firstAgent) { true }
            (late.step(DispatchEvent.Begin, 10_000) as DispatchAction.Refuse).status shouldBe 504
            val withdrawn = Dispatch(request(), firstAgent) { true }
            withdrawn.step(DispatchEvent.Begin, 0)
            val end = withdrawn.step(DispatchEvent.NotRun(NotRunCause.KEY_WITHDRAWN, 0), 1)
            (end as DispatchAction.Refuse).status shouldBe 401
        }
    })
