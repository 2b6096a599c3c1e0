/*
 * Input of the dispatch state machine of one request.
 */
package io.teaselspring.core.dispatch

/** An event of the request or its current attempt. */
public sealed interface DispatchEvent {
    /** The request has arrived. This is the first event and is sent once. */
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

    /** The agent reported the end of the response, which has [chunkCount] chunks in all. */
    public data class Finished(
        val chunkCount: Long,
    ) : DispatchEvent

    /** The attempt was interrupted and may have run. */
    public data object Lost : DispatchEvent

    /** The offer could not be sent; no byte of it left this process. */
    public data object NotSent : DispatchEvent

    /** The caller disconnected. */
    public data object CallerLeft : DispatchEvent
}

/** Reason for which an agent refused an attempt, reduced to the cases that dispatch distinguishes. */
public enum class NotRunCause { BUSY, DISPLACED, UNAVAILABLE, KEY_WITHDRAWN, NOT_SERVED }
