package io.teaselspring.core.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.teaselspring.core.KeyId

class AgentSchedulerTest :
    FunSpec({
        fun upstream(
            maxRunning: Int = 1,
            tokens: Int = 10,
            maxQueued: Int = 256,
        ) = FakeUpstream(SchedulerPolicy(maxRunning, maxQueued)) { tokens }

        // Guards against requests that stay queued although they can no longer meet their first-token target.
        test("refuses at once with the predicted wait when the queue would miss the first-token target") {
            val upstream = upstream()
            upstream.offer(offered(1))
            repeat(10) { upstream.advance() }
            repeat(6) { upstream.offer(offered(2 + it)) }
            val refused = upstream.offer(offered(20, firstTokenDeadlineMs = upstream.nowMs + 300)).single()
            (refused as SchedulerAction.Refuse).reason shouldBe RefusalReason.TOO_LATE
            // Six requests of 100 ms are ahead, one of them running, and the first token takes 10 ms.
            refused.retryAfterMs shouldBeInRange 550L..650L
        }

        // Guards against preempted work that loses its queue position or does not resume.
        test("a preempted attempt keeps its position before later arrivals of its class and resumes") {
            val upstream = upstream()
            upstream.offer(offered(1, tier = 2))
            upstream.offer(offered(2, tier = 2))
            repeat(3) { upstream.advance() }
            val urgent = offered(3, tier = 1, firstTokenDeadlineMs = upstream.nowMs + 20, displace = true)
            upstream.offer(urgent) shouldContain SchedulerAction.Stop(offered(1).id, StopCause.PREEMPTED)
            repeat(40) { upstream.advance() }
            upstream.starts.map { it.requestId.value } shouldContainExactly listOf("r1", "r3", "r1", "r2")
        }

        // Guards against a second run when the preemption of an attempt races with its completion.
        test("an attempt that completes while it is being preempted is not queued again") {
            val scheduler = AgentScheduler(SchedulerPolicy(1))
            scheduler.step(SchedulerEvent.Offered(offered(1, tier = 2)), 0)
            scheduler.step(SchedulerEvent.Offered(offered(2, displace = true, firstTokenDeadlineMs = 100)), 0)
            scheduler.step(SchedulerEvent.Ended(offered(1).id, completed = true), 1) shouldContainExactly
                listOf(SchedulerAction.Start(offered(2).id))
            scheduler.step(SchedulerEvent.Ended(offered(2).id), 2) shouldBe emptyList()
        }

        // Guards against running an attempt that was cancelled before its offer arrived.
        test("refuses an attempt whose cancellation arrived first") {
            val upstream = upstream()
            upstream.apply(SchedulerEvent.Cancelled(offered(1).id))
            upstream.offer(offered(1)).single() shouldBe
                SchedulerAction.Refuse(offered(1).id, RefusalReason.DUPLICATE, 1000)
        }

        // Guards against a queue full of lower-tier work that blocks a higher tier (I1).
        test("evicts queued work of a lower tier from a full queue, only with displace") {
            val upstream = upstream(maxQueued = 2)
            upstream.offer(offered(1, tier = 3).copy(preemptible = false))
            upstream.offer(offered(2, tier = 3))
            upstream.offer(offered(3, tier = 2))
            (upstream.offer(offered(4)).single() as SchedulerAction.Refuse).reason shouldBe RefusalReason.QUEUE_FULL
            val actions = upstream.offer(offered(5, displace = true))
            (actions.first() as SchedulerAction.Refuse).let { it.id to it.reason } shouldBe
                (offered(2).id to RefusalReason.DISPLACED)
            actions.last() shouldBe SchedulerAction.Accept(offered(5).id)
        }

        // Guards against work that continues for a withdrawn key (I5).
        test("a withdrawn key ends queued and running work and refuses what arrives later") {
            val upstream = upstream()
            upstream.offer(offered(1))
            upstream.offer(offered(2))
            val actions = upstream.apply(SchedulerEvent.KeysWithdrawn(setOf(KeyId("key-a"))))
            actions.first() shouldBe SchedulerAction.Stop(offered(1).id, StopCause.KEY_WITHDRAWN)
            (actions.last() as SchedulerAction.Refuse).reason shouldBe RefusalReason.KEY_WITHDRAWN
            (upstream.offer(offered(3)).single() as SchedulerAction.Refuse).reason shouldBe RefusalReason.KEY_WITHDRAWN
        }

        // Guards against requests that stay queued while their upstream is unreachable.
        test("an unreachable upstream refuses what is queued and what arrives") {
            val upstream = upstream()
            upstream.offer(offered(1))
            upstream.offer(offered(2))
            (upstream.apply(SchedulerEvent.UpstreamReachable(false)).single() as SchedulerAction.Refuse).reason shouldBe
                RefusalReason.UPSTREAM_DOWN
            (upstream.offer(offered(3)).single() as SchedulerAction.Refuse).reason shouldBe RefusalReason.UPSTREAM_DOWN
        }

        // Guards against a request that waits behind running lower-tier work until it is too late to displace it.
        test("queued work is refused while there is time to displace a lower tier, or displaces it on this agent") {
            val upstream = upstream(tokens = 500)
            upstream.offer(offered(1, tier = 2))
            repeat(3) { upstream.advance() }
            upstream.offer(offered(2, firstTokenDeadlineMs = 3000))
            while (upstream.log.none { it is SchedulerAction.Refuse }) upstream.advance()
            upstream.nowMs shouldBeInRange 2750L..2850L
            upstream.offer(offered(3, firstTokenDeadlineMs = upstream.nowMs + 100, displace = true))
            upstream.starts.last() shouldBe offered(3).id
        }

        // Guards against a limit that stays too high for the between-tokens target, and one that never recovers.
        test("the batch limit decreases when intervals exceed the target and increases when they meet it") {
            val limit = BatchLimit(32)
            (1..20L).forEach { limit.observe(60.0, 35, 8, limit.value, it * 500) }
            val low = limit.value
            low shouldBeLessThan 5
            (21..60L).forEach { limit.observe(20.0, 35, 8, 32, it * 500) }
            limit.value shouldBe 32
        }
    })
