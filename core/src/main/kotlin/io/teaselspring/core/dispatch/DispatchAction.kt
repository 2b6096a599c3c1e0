/*
 * Output of the dispatch state machine of one request.
 */
package io.teaselspring.core.dispatch

import io.teaselspring.core.InstanceId

/** The next action for the entry. */
public sealed interface DispatchAction {
    /** Offer the request to [agent] as attempt number [attempt], with output from chunk [resumeOffset] on. */
    public data class Offer(
        val agent: InstanceId,
        val attempt: Int,
        val displace: Boolean,
        val resumeOffset: Long,
    ) : DispatchAction

    /** Wait for the next event. */
    public data object Wait : DispatchAction

    /** Refuse the request, which has not run, with the HTTP [status]. */
    public data class Refuse(
        val status: Int,
        val reason: String,
        val retryAfterMs: Long,
    ) : DispatchAction

    /** End with an error that reports an unknown outcome: the request may have run. */
    public data class FailUnknown(
        val reason: String,
    ) : DispatchAction

    /** End the response: all chunks have been passed to the caller. */
    public data object Complete : DispatchAction

    /** Cancel the current attempt because the caller has disconnected. */
    public data object CancelAttempt : DispatchAction
}
