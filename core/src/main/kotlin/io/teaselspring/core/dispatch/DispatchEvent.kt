/*
 * Input of the dispatch state machine of one request.
 */
package io.teaselspring.core.dispatch

/** What the entry learned about the current attempt. */
public sealed interface DispatchEvent {
    /** The request has arrived; sent once. */
    public data object Begin : DispatchEvent

    /** The agent has queued or started the attempt. */
    public data object Accepted : DispatchEvent

    /** The attempt has certainly not run. */
    public data class NotRun(
        val reason: NotRunCause,
        val retryAfterMs: Long,
    ) : DispatchEvent

    /** Chunks up to [nextOffset] (exclusive) have been passed to the caller. */
    public data class Progress(
        val nextOffset: Long,
    ) : DispatchEvent

    /** The whole response of [chunkCount] chunks was announced. */
    public data class Finished(
        val chunkCount: Long,
    ) : DispatchEvent

    /** The attempt broke off; it may have run. */
    public data object Lost : DispatchEvent

    /** No byte of the offer was sent. */
    public data object NotSent : DispatchEvent

    /** The caller left. */
    public data object CallerLeft : DispatchEvent
}

/** Why an agent refused, as far as it matters for the next step. */
public enum class NotRunCause { BUSY, DISPLACED, UNAVAILABLE, KEY_WITHDRAWN, NOT_SERVED }
