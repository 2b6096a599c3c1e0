/*
 * Input of the scheduler of one agent: offered requests and the events of the upstream and the links to entries.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.ClassName
import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId
import kotlin.time.Duration

/** Identifies one attempt of a request. */
public data class AttemptId(
    val requestId: RequestId,
    val attempt: Int,
)

/**
 * A request offered to an agent. [firstTokenDeadlineMs] and [deadlineMs] are on the clock that is passed to
 * [AgentScheduler.step]. With [displace] the request may evict or preempt work of lower tiers. A request that is not
 * [preemptible] is never stopped for another one.
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

/** An event on the upstream or on a link to an entry. */
public sealed interface SchedulerEvent {
    /** An entry offers a request. */
    public data class Offered(
        val request: OfferedRequest,
    ) : SchedulerEvent

    /** The entry cancelled the attempt. */
    public data class Cancelled(
        val id: AttemptId,
    ) : SchedulerEvent

    /** A running attempt produced [count] more tokens. */
    public data class TokensProduced(
        val id: AttemptId,
        val count: Int,
    ) : SchedulerEvent

    /**
     * A started attempt no longer occupies the upstream, for any reason. The agent sends this event after each Stop
     * too, because the slot of a stopped attempt is free only then. [completed] means that the attempt finished on its
     * own, so that it is not queued again even if it was being preempted.
     */
    public data class Ended(
        val id: AttemptId,
        val completed: Boolean = false,
    ) : SchedulerEvent

    /** Keys were withdrawn; their queued and running requests are terminated. */
    public data class KeysWithdrawn(
        val keyIds: Set<KeyId>,
    ) : SchedulerEvent

    /** The upstream became reachable or unreachable. */
    public data class UpstreamReachable(
        val reachable: Boolean,
    ) : SchedulerEvent

    /** The upstream said in a response that it [isLeaving], or that it wants no requests in the next [pause]. */
    public data class UpstreamStated(
        val isLeaving: Boolean,
        val pause: Duration?,
    ) : SchedulerEvent

    /** Another process has taken the place of the upstream: what the earlier one said holds no longer. */
    public data object UpstreamRestarted : SchedulerEvent

    /** The agent starts to drain: it accepts no new requests and finishes the accepted ones. */
    public data object DrainStarted : SchedulerEvent

    /** Time has passed. The agent sends one at least every 50 ms while it has work. */
    public data object Tick : SchedulerEvent
}
