/*
 * Output of the scheduler of one agent: the actions that the agent executes after each event.
 */
package io.teaselspring.core.admission

/** Reason why an offered or queued request is not run. */
public enum class RefusalReason {
    TOO_LATE,
    QUEUE_FULL,
    DISPLACED,
    DRAINING,
    UPSTREAM_DOWN,

    /** The upstream wants no requests for a while. */
    UPSTREAM_PAUSED,
    KEY_WITHDRAWN,
    DUPLICATE,
    EXPIRED,
}

/** Reason why a started attempt is stopped. */
public enum class StopCause {
    PREEMPTED,
    CANCELLED,
    EXPIRED,
    KEY_WITHDRAWN,

    /** It was preempted, and the upstream has said that it wants no requests before it could resume. */
    UPSTREAM_UNWILLING,
}

/** An action for the agent. Actions are executed in the order in which they are returned. */
public sealed interface SchedulerAction {
    /** Tell the entry that the request is accepted: queued, or started at once. */
    public data class Accept(
        val id: AttemptId,
    ) : SchedulerAction

    /** Tell the entry that the attempt has not run and will not run; [retryAfterMs] is the predicted wait. */
    public data class Refuse(
        val id: AttemptId,
        val reason: RefusalReason,
        val retryAfterMs: Long,
    ) : SchedulerAction

    /** Start the attempt on the upstream, or resume it if it was preempted. */
    public data class Start(
        val id: AttemptId,
    ) : SchedulerAction

    /** Stop the attempt on the upstream. A preempted attempt is queued again and resumes; any other stop is final. */
    public data class Stop(
        val id: AttemptId,
        val cause: StopCause,
    ) : SchedulerAction
}
