/*
 * Test fixture that drives a scheduler against a fake upstream, which produces one token per running attempt and step,
 * and records the actions and produced tokens of each attempt.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.ClassName
import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId

internal fun offered(
    id: Int,
    tier: Int = 1,
    organisation: String = "a",
    weight: Int = 1,
    firstTokenDeadlineMs: Long = Long.MAX_VALUE / 4,
    deadlineMs: Long = Long.MAX_VALUE / 4,
    displace: Boolean = false,
) = OfferedRequest(
    id = AttemptId(RequestId("r$id"), 1),
    organisation = OrganisationId(organisation),
    organisationWeight = weight,
    keyId = KeyId("key-$organisation"),
    serviceClass = ClassName("class-$tier"),
    tier = tier,
    classWeight = 1,
    firstTokenDeadlineMs = firstTokenDeadlineMs,
    betweenTokensTargetMs = null,
    deadlineMs = deadlineMs,
    displace = displace,
    preemptible = true,
)

internal class FakeUpstream(
    policy: SchedulerPolicy,
    private val tokensOf: (OfferedRequest) -> Int,
) {
    val scheduler = AgentScheduler(policy)
    val requests = HashMap<AttemptId, OfferedRequest>()
    val running = LinkedHashMap<AttemptId, Int>()
    val remainingTokens = HashMap<AttemptId, Int>()
    val tokens = HashMap<OrganisationId?, Int>()
    val starts = mutableListOf<AttemptId>()
    val startTimesMs = mutableListOf<Long>()
    val log = mutableListOf<SchedulerAction>()
    var nowMs = 0L

    fun offer(request: OfferedRequest): List<SchedulerAction> {
        requests[request.id] = request
        return apply(SchedulerEvent.Offered(request))
    }

    fun apply(event: SchedulerEvent): List<SchedulerAction> {
        val actions = scheduler.step(event, nowMs)
        log += actions
        for (action in actions) {
            when (action) {
                is SchedulerAction.Start -> start(action.id)
                is SchedulerAction.Stop -> if (running.remove(action.id) != null) apply(SchedulerEvent.Ended(action.id))
                else -> Unit
            }
        }
        return actions
    }

    private fun start(id: AttemptId) {
        check(id !in running) { "$id started twice" }
        starts += id
        startTimesMs += nowMs
        running[id] = remainingTokens[id] ?: tokensOf(requests.getValue(id))
    }

    /** Advances the clock by [stepMs] and produces one token for each running attempt. */
    fun advance(stepMs: Long = 10) {
        nowMs += stepMs
        for (id in running.keys.toList()) {
            val remaining = running[id] ?: continue
            apply(SchedulerEvent.TokensProduced(id, 1))
            tokens.merge(requests.getValue(id).organisation, 1, Int::plus)
            remainingTokens[id] = remaining - 1
            if (remaining > 1) running[id] = remaining - 1 else finish(id)
        }
        apply(SchedulerEvent.Tick)
    }

    private fun finish(id: AttemptId) {
        running.remove(id)
        apply(SchedulerEvent.Ended(id, completed = true))
    }
}
