/*
 * An entry's own requests on one agent since the agent's last report. A report is old when it arrives; what the entry
 * itself has sent or seen end since then is known better.
 */
package io.teaselspring.core.choice

/** Counts own requests by the time they were sent or ended. Times are in milliseconds on the entry's clock. */
public class UnreportedRequests {
    private class Change(
        val atMs: Long,
        val count: Int,
    )

    private val changes = ArrayDeque<Change>()

    /** Own requests sent since the report less those ended since, for [AgentView.sentSinceReport]; may be negative. */
    public var sinceReport: Int = 0
        private set

    /** A request was offered to the agent. */
    public fun sent(nowMs: Long): Unit = add(nowMs, 1)

    /** An offered request was refused, ended or lost. */
    public fun ended(nowMs: Long): Unit = add(nowMs, -1)

    /** A report arrived that covers what reached the agent until [coveredMs]. */
    public fun reported(coveredMs: Long) {
        while (changes.isNotEmpty() && changes.first().atMs <= coveredMs) sinceReport -= changes.removeFirst().count
    }

    private fun add(
        nowMs: Long,
        count: Int,
    ) {
        changes.addLast(Change(nowMs, count))
        sinceReport += count
    }
}
