/*
 * What shows that a server and this client no longer agree where a response begins.
 */
package io.teaselspring.daemon.http

/** How a connection is out of step. [label] is the name in logs and metrics. */
internal enum class OutOfStepKind(
    val label: String,
) {
    /** A head was read from two responses. */
    JOINED_HEAD("joined_head"),

    /** A response begins inside another one. */
    EMBEDDED_RESPONSE("embedded_response"),

    /** The response to another request came in place of the one expected. */
    OTHER_RESPONSE("other_response"),

    /** Bytes followed a complete response in the same packet. */
    BYTES_BEHIND("bytes_behind"),

    /** Bytes came while no request was waiting. */
    IDLE_BYTES("idle_bytes"),
}

/** A connection to [address] that is out of step; [requestId] is the id of the last request on it. */
internal data class OutOfStep(
    val kind: OutOfStepKind,
    val address: String,
    val requestId: String?,
)
