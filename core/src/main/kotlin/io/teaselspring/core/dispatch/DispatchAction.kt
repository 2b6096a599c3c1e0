/*
 * Output of the dispatch state machine of one request.
 */
package io.teaselspring.core.dispatch

import io.teaselspring.core.InstanceId

/** What the entry must do next. */
public sealed interface DispatchAction {
    /** Offer the request to [agent] as attempt number [attempt]. */
    public data class Offer(
        val agent: InstanceId,
        val attempt: Int,
        val displace: Boolean,
        val resumeOffset: Long,
    ) : DispatchAction

    /** Wait for the next event. */
    public data object Wait : DispatchAction

    /** Refuse: the request has not run. */
    public data class Refuse(
        val status: Int,
        val reason: String,
        val retryAfterMs: Long,
    ) : DispatchAction

    /** End with an error that says that the outcome is unknown. */
    public data class FailUnknown(
        val reason: String,
    ) : DispatchAction

    /** The response is whole. */
    public data object Complete : DispatchAction

    /** Cancel the current attempt; nobody waits for it. */
    public data object CancelAttempt : DispatchAction
}
