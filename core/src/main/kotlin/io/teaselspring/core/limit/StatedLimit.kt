/*
 * The rate limit that an instance states in its responses: the requests a second that it takes from all entries
 * together, for as long as its responses say so.
 */
package io.teaselspring.core.limit

/** What one entry has learned of the limit of one instance. Times are monotonic milliseconds. Not thread-safe. */
public class StatedLimit {
    /** Requests a second for all entries together, or null while there is no limit. */
    public var perSecond: Double? = null
        private set
    private var statedAtMs = Long.MIN_VALUE

    /**
     * Records the [headers] of a response that arrived at [nowMs] to a request sent at [sentAtMs]: none if the response
     * states no limit. An unreadable value changes nothing. A limit ends only with a response to a request that was
     * sent after the limit was last stated, because responses on different connections overtake each other.
     */
    public fun record(
        headers: List<String>,
        sentAtMs: Long,
        nowMs: Long,
    ) {
        if (headers.isEmpty()) {
            if (sentAtMs >= statedAtMs) perSecond = null
            return
        }
        perSecond = parseRequestsPerSecond(headers) ?: return
        statedAtMs = nowMs
    }
}

/** The smallest of the readable [values] of a limit's header, or null if none is a non-negative decimal number. */
public fun parseRequestsPerSecond(values: List<String>): Double? =
    values
        .flatMap { it.split(',') }
        .mapNotNull { it.trim().toDoubleOrNull() }
        .filter { it.isFinite() && it >= 0 }
        .minOrNull()
