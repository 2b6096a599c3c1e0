/*
 * Output of the scheduler of one agent: what the agent carries out after each event.
 */
package io.teaselspring.core.admission

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
