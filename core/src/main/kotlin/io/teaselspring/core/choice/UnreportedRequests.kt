/*
 * Correction of an agent's stale load report. A report is out of date when it arrives; the entry adds the requests that
 * it has itself sent to the agent since then, and subtracts those that have ended.
 */
package io.teaselspring.core.choice

/**
 * Counts the entry's own requests on one agent since its last report. Times are in milliseconds on the entry's clock.
 */
public class UnreportedRequests {
    private class Change(
        val atMs: Long,
        val count: Int,
    )

    private val changes = ArrayDeque<Change>()

    /** Requests sent since the report less those ended since, for [AgentView.sentSinceReport]; may be negative. */
    public var sinceReport: Int = 0
        private set

    /** Records that a request was offered to the agent. */
    public fun recordSent(nowMs: Long): Unit = add(nowMs, 1)

    /** Records that an offered request ended, was refused or was lost. */
    public fun recordEnded(nowMs: Long): Unit = add(nowMs, -1)

    /** Drops the changes that a report covers, which are those up to [coveredUntilMs]. */
    public fun recordReport(coveredUntilMs: Long) {
        while (changes.isNotEmpty() && changes.first().atMs <= coveredUntilMs) {
            sinceReport -= changes.removeFirst().count
        }
    }

    private fun add(
        nowMs: Long,
        count: Int,
    ) {
        changes.addLast(Change(nowMs, count))
        sinceReport += count
    }
}
