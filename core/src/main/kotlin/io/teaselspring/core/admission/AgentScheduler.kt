/*
 * Admission, order, load shedding and preemption on one upstream. The scheduler is a deterministic state machine: the
 * agent feeds it events with the current monotonic time and carries out the actions it returns. It does no I/O.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.ClassName
import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId

/** One attempt of a request, as an agent knows it. */
public data class AttemptId(
    val requestId: RequestId,
    val attempt: Int,
)

/**
 * A request offered to an agent. [firstTokenDeadlineMs] and [deadlineMs] are on the clock that is passed to
 * [AgentScheduler.step]. A request that is not [preemptible] is never stopped for another one.
 */
public data class OfferedRequest(
    val id: AttemptId,
    val organisation: OrganisationId?,
    val organisationWeight: Int,
    val keyId: KeyId?,
    val serviceClass: ClassName,
    val tier: Int,
    val classWeight: Int,
    val firstTokenDeadlineMs: Long,
    val betweenTokensTargetMs: Long?,
    val deadlineMs: Long,
    val displace: Boolean,
    val preemptible: Boolean,
)

/** What happened on the upstream or on a link. */
public sealed interface SchedulerEvent {
    /** An entry offers a request. */
    public data class Offered(
        val request: OfferedRequest,
    ) : SchedulerEvent

    /** The entry gave the attempt up. */
    public data class Cancelled(
        val id: AttemptId,
    ) : SchedulerEvent

    /** A running attempt produced [count] more tokens. */
    public data class TokensProduced(
        val id: AttemptId,
        val count: Int,
    ) : SchedulerEvent

    /** A started attempt no longer occupies the upstream, for whatever reason. */
    public data class Ended(
        val id: AttemptId,
    ) : SchedulerEvent

    /** Keys were withdrawn; their queued and running requests end. */
    public data class KeysWithdrawn(
        val keyIds: Set<KeyId>,
    ) : SchedulerEvent

    /** The upstream became reachable or unreachable. */
    public data class UpstreamReachable(
        val reachable: Boolean,
    ) : SchedulerEvent

    /** The agent drains: nothing new is accepted, accepted work finishes. */
    public data object DrainStarted : SchedulerEvent

    /** Time has passed. The agent sends one at least every 50 ms while it has work. */
    public data object Tick : SchedulerEvent
}

/** Why an offered or queued request does not run. */
public enum class RefusalReason {
    TOO_LATE,
    QUEUE_FULL,
    DISPLACED,
    DRAINING,
    UPSTREAM_DOWN,
    KEY_WITHDRAWN,
    DUPLICATE,
    EXPIRED,
}

/** Why a running attempt is stopped. */
public enum class StopCause { PREEMPTED, CANCELLED, EXPIRED, KEY_WITHDRAWN }

/** What the agent must do next, in order. */
public sealed interface SchedulerAction {
    /** Tell the entry that the request is queued or starts. */
    public data class Accept(
        val id: AttemptId,
    ) : SchedulerAction

    /** Tell the entry that the attempt has not run and will not; [retryAfterMs] is the predicted wait. */
    public data class Refuse(
        val id: AttemptId,
        val reason: RefusalReason,
        val retryAfterMs: Long,
    ) : SchedulerAction

    /** Start the attempt on the upstream, or resume it if it was preempted. */
    public data class Start(
        val id: AttemptId,
    ) : SchedulerAction

    /** Stop the attempt on the upstream. After PREEMPTED it is queued again and resumes later; else it is over. */
    public data class Stop(
        val id: AttemptId,
        val cause: StopCause,
    ) : SchedulerAction
}

/** Load of one upstream at one moment, as reported to entries. */
public data class SchedulerLoad(
    val running: Int,
    val queued: Int,
    val limit: Int,
    val lowestTier: Int?,
    val firstTokenEstimateMs: Long,
    val draining: Boolean,
)

/**
 * Settings of the scheduler. [maxRunning] is the largest batch the upstream is given and [maxQueued] the largest queue.
 * [floorSharePct] is the share of starts that the lowest waiting classes get when no higher tier is hurt by it.
 */
public data class SchedulerPolicy(
    val maxRunning: Int,
    val maxQueued: Int = 256,
    val floorSharePct: Int = 5,
)

/** The scheduler of one agent. Not thread-safe: the agent calls it from one coroutine. */
public class AgentScheduler(
    private val policy: SchedulerPolicy,
) {
    private val queue = mutableListOf<OfferedRequest>()
    private val running = linkedMapOf<AttemptId, OfferedRequest>()
    private var draining = false

    /** Applies [event] at [nowMs], which never goes back, and returns what to do. */
    public fun step(
        event: SchedulerEvent,
        nowMs: Long,
    ): List<SchedulerAction> =
        when (event) {
            is SchedulerEvent.Offered -> offer(event.request)
            is SchedulerEvent.Cancelled -> cancel(event.id)
            is SchedulerEvent.Ended -> end(event.id)
            is SchedulerEvent.DrainStarted -> emptyList<SchedulerAction>().also { draining = true }
            else -> expire(nowMs)
        }

    /** The load at [nowMs]. */
    public fun load(nowMs: Long): SchedulerLoad =
        SchedulerLoad(
            running = running.size,
            queued = queue.size,
            limit = policy.maxRunning,
            lowestTier = (queue + running.values).maxOfOrNull { it.tier },
            firstTokenEstimateMs = (queue.maxOfOrNull { it.firstTokenDeadlineMs } ?: nowMs) - nowMs,
            draining = draining,
        )

    private fun offer(request: OfferedRequest): List<SchedulerAction> =
        when {
            draining -> listOf(SchedulerAction.Refuse(request.id, RefusalReason.DRAINING, 0))
            queue.size >= policy.maxQueued -> listOf(SchedulerAction.Refuse(request.id, RefusalReason.QUEUE_FULL, 1000))
            else -> {
                queue += request
                listOf(SchedulerAction.Accept(request.id)) + fill()
            }
        }

    private fun cancel(id: AttemptId): List<SchedulerAction> {
        queue.removeAll { it.id == id }
        return if (id in running) listOf(SchedulerAction.Stop(id, StopCause.CANCELLED)) else emptyList()
    }

    private fun end(id: AttemptId): List<SchedulerAction> {
        running.remove(id)
        return fill()
    }

    private fun expire(nowMs: Long): List<SchedulerAction> {
        val late = queue.filter { it.deadlineMs <= nowMs }
        queue.removeAll(late)
        return late.map { SchedulerAction.Refuse(it.id, RefusalReason.EXPIRED, 0) } + fill()
    }

    private fun fill(): List<SchedulerAction> =
        buildList {
            while (running.size < policy.maxRunning && queue.isNotEmpty()) {
                val next = queue.minBy { it.tier }
                queue.remove(next)
                running[next.id] = next
                add(SchedulerAction.Start(next.id))
            }
        }
}
