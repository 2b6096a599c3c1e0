package io.teaselspring.core.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private val config = PropTestConfig(seed = 20_261_204, iterations = 60)

/** Applies a random sequence of offers, cancellations and time steps to a small upstream. */
private fun randomWorkload(
    seed: Long,
    check: (FakeUpstream, OfferedRequest, List<SchedulerAction>) -> Unit = { _, _, _ -> },
): FakeUpstream {
    val random = Random(seed)
    val upstream = FakeUpstream(SchedulerPolicy(maxRunning = 4, maxQueued = 12)) { 1 + random.nextInt(30) }
    repeat(400) { index ->
        val request =
            offered(
                id = if (random.nextInt(20) == 0) random.nextInt(index + 1) else index,
                tier = 1 + random.nextInt(4),
                organisation = "o${random.nextInt(6)}",
                weight = 1 + random.nextInt(3),
                firstTokenDeadlineMs = upstream.nowMs + 20 + random.nextInt(400),
                deadlineMs = upstream.nowMs + 100 + random.nextInt(1500),
                displace = random.nextBoolean(),
            ).copy(preemptible = random.nextInt(3) > 0)
        if (request.id in upstream.requests) {
            upstream.apply(SchedulerEvent.Offered(request)) shouldBe
                listOf(SchedulerAction.Refuse(request.id, RefusalReason.DUPLICATE, 1000))
        } else {
            check(upstream, request, upstream.offer(request))
        }
        if (random.nextInt(15) == 0) upstream.apply(SchedulerEvent.Cancelled(upstream.requests.keys.random(random)))
        repeat(random.nextInt(4)) { upstream.advance() }
    }
    return upstream
}

class AgentSchedulerPropertyTest :
    FunSpec({
        // Guards against a request that is evicted or preempted for one of an equal or lower tier (I1).
        test("only work of strictly lower tiers is displaced, and running work only if it is preemptible") {
            checkAll(config, Arb.long()) { seed ->
                randomWorkload(seed) { upstream, offered, actions ->
                    for (action in actions) {
                        val preempted =
                            (action as? SchedulerAction.Stop)
                                ?.takeIf { it.cause == StopCause.PREEMPTED }
                                ?.id
                        val evicted =
                            (action as? SchedulerAction.Refuse)?.takeIf { it.reason == RefusalReason.DISPLACED }?.id
                        (preempted ?: evicted)?.let {
                            upstream.requests.getValue(it).tier shouldBeGreaterThan
                                offered.tier
                        }
                        preempted?.let { upstream.requests.getValue(it).preemptible shouldBe true }
                    }
                }
            }
        }

        // Guards against a repeated or resumed attempt that runs twice at once or again after its end (I10), and
        // against a refusal that claims "not run" for an attempt that has started (I9).
        test("an attempt starts at most once unless it was preempted, and is never refused after its start") {
            checkAll(config, Arb.long()) { seed ->
                val log = randomWorkload(seed).log
                val started = HashSet<AttemptId>()
                val over = HashSet<AttemptId>()
                for (action in log) {
                    when (action) {
                        is SchedulerAction.Start -> {
                            started.add(action.id) shouldBe true
                            (action.id in over) shouldBe false
                        }
                        is SchedulerAction.Stop ->
                            if (action.cause == StopCause.PREEMPTED) started -= action.id else over += action.id
                        is SchedulerAction.Refuse ->
                            if (action.reason != RefusalReason.DUPLICATE) (action.id in started) shouldBe false
                        is SchedulerAction.Accept -> Unit
                    }
                }
            }
        }

        // Guards against a negative retry-after, and against a batch above its maximum.
        test("refusals have a non-negative retry-after and the batch stays within its maximum") {
            checkAll(config, Arb.long()) { seed ->
                val upstream =
                    randomWorkload(seed) { upstream, _, _ ->
                        upstream.scheduler.load(upstream.nowMs).running shouldBeLessThanOrEqual 4
                        upstream.scheduler.load(upstream.nowMs).firstTokenEstimateMs shouldBeGreaterThanOrEqual 0
                    }
                upstream.log.filterIsInstance<SchedulerAction.Refuse>().forEach {
                    it.retryAfterMs shouldBeGreaterThanOrEqual
                        0
                }
            }
        }

        // Guards against accepted work that stays queued for ever or never ends.
        test("every accepted attempt ends after a drain") {
            checkAll(config, Arb.long()) { seed ->
                val upstream = randomWorkload(seed)
                upstream.apply(SchedulerEvent.DrainStarted)
                repeat(300) { upstream.advance() }
                upstream.offer(offered(9999)).single() shouldBe
                    SchedulerAction.Refuse(offered(9999).id, RefusalReason.DRAINING, 1000)
                val load = upstream.scheduler.load(upstream.nowMs)
                (load.running to load.queued) shouldBe (0 to 0)
            }
        }

        // Guards against requests, new, queued or preempted, that reach an upstream in a pause or when it is leaving.
        test("nothing starts within a pause or once the upstream is leaving, and all that is accepted ends") {
            checkAll(config, Arb.long()) { seed ->
                val random = Random(seed)
                val pauses = mutableListOf<LongRange>()
                val upstream =
                    randomWorkload(seed) { upstream, _, _ ->
                        if (random.nextInt(8) > 0) return@randomWorkload
                        val pauseMs = 1 + random.nextLong(300)
                        val starts = upstream.starts.size
                        upstream.apply(SchedulerEvent.UpstreamStated(isLeaving = false, pauseMs.milliseconds))
                        upstream.starts.size shouldBe starts
                        pauses += upstream.nowMs + 1..upstream.nowMs + pauseMs
                        if (random.nextInt(4) == 0) upstream.apply(SchedulerEvent.UpstreamReachable(false))
                        upstream.apply(SchedulerEvent.UpstreamReachable(true))
                        val refused = upstream.offer(offered(10_000 + pauses.size)).last() as SchedulerAction.Refuse
                        refused.reason shouldBe RefusalReason.UPSTREAM_PAUSED
                        refused.retryAfterMs shouldBeGreaterThanOrEqual pauseMs
                    }
                upstream.startTimesMs.filter { start -> pauses.any { start in it } } shouldBe emptyList()
                val starts = upstream.starts.size
                upstream.apply(SchedulerEvent.UpstreamStated(isLeaving = true, null))
                upstream.scheduler.load(upstream.nowMs).queued shouldBe 0
                repeat(300) { upstream.advance() }
                upstream.starts.size shouldBe starts
                upstream.scheduler.load(upstream.nowMs).running shouldBe 0
                upstream.apply(SchedulerEvent.UpstreamRestarted)
                upstream.offer(offered(9999)).last() shouldBe SchedulerAction.Start(offered(9999).id)
            }
        }

        // Guards against starvation of the lowest class while a higher tier alone exceeds capacity (I2).
        test("the lowest class gets starts while a higher tier exceeds capacity") {
            checkAll(config, Arb.long()) { seed ->
                val random = Random(seed)
                val upstream =
                    FakeUpstream(SchedulerPolicy(maxRunning = 4, maxQueued = 4096)) { 5 + random.nextInt(10) }
                upstream.offer(offered(0, tier = 3))
                repeat(4000) { index ->
                    upstream.offer(offered(10 + 2 * index, tier = 1, firstTokenDeadlineMs = upstream.nowMs + 1000))
                    upstream.offer(offered(11 + 2 * index, tier = 3, deadlineMs = upstream.nowMs + 20_000))
                    upstream.advance()
                }
                val share =
                    upstream.starts.count { upstream.requests.getValue(it).tier == 3 } * 100 / upstream.starts.size
                share shouldBeInRange 3..6
            }
        }

        // Guards against tokens that are charged twice or to the wrong organisation, so that the counters drift and the
        // organisations' shares no longer follow their weights.
        test("backlogged organisations get tokens by weight, regardless of the lengths of their responses") {
            checkAll(config, Arb.long()) { seed ->
                val random = Random(seed)
                val lengths = mapOf("a" to 5, "b" to 20, "c" to 10)
                val weights = mapOf("a" to 1, "b" to 2, "c" to 1)
                val upstream =
                    FakeUpstream(SchedulerPolicy(maxRunning = 4, maxQueued = 400)) {
                        1 + random.nextInt(2 * lengths.getValue(it.organisation!!.value))
                    }
                var id = 0
                val queued = HashMap<String, Int>()
                repeat(3000) {
                    for ((organisation, weight) in weights) {
                        while (queued.getOrDefault(organisation, 0) < 20) {
                            upstream.offer(offered(id++, organisation = organisation, weight = weight))
                            queued.merge(organisation, 1, Int::plus)
                        }
                    }
                    val before = upstream.starts.size
                    upstream.advance()
                    upstream.starts.drop(before).forEach {
                        queued.merge(
                            upstream.requests
                                .getValue(it)
                                .organisation!!
                                .value,
                            -1,
                            Int::plus,
                        )
                    }
                }
                val total = upstream.tokens.values.sum()
                upstream.tokens.forEach { (organisation, tokens) ->
                    tokens * 400 / total / weights.getValue(organisation!!.value) shouldBeInRange 92..108
                }
            }
        }
    })
