/*
 * Input of the scheduler of one agent: offered requests and what happens to them on the upstream and on the links.
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

    /**
     * A started attempt no longer occupies the upstream, for whatever reason. The agent sends it after each Stop too:
     * the slot of a stopped attempt is free only then. [completed] says that the attempt reached its end by itself, so
     * that it is not queued again even if a Stop with PREEMPTED was on its way.
     */
    public data class Ended(
        val id: AttemptId,
        val completed: Boolean = false,
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
