/*
 * Load of an instance as one entry knows it: its own requests, and those of other entries as the instance reported them
 * with its last response.
 */
package io.teaselspring.core.placement

import kotlin.math.exp

/** Load that an instance reports with a response: requests running and waiting, and its slots. */
public data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
)

/** This entry's estimate of the running and waiting requests on one instance. Times are monotonic milliseconds. */
public class LoadEstimate {
    /** Requests of this entry that run or wait on the instance. */
    public var ownRequests: Int = 0
        private set

    /** The newest report that this entry has received. */
    public var lastReport: ReportedLoad? = null
        private set
    private var reportedAtMs = 0L
    private var othersAtReport = 0.0

    public fun requestStarted() {
        ownRequests += 1
    }

    public fun requestEnded() {
        ownRequests -= 1
    }

    /** Records a [report] that arrived at [nowMs]. */
    public fun record(
        report: ReportedLoad,
        nowMs: Long,
    ) {
        othersAtReport = maxOf(0, report.running + report.waiting - ownRequests).toDouble()
        reportedAtMs = nowMs
        lastReport = report
    }

    /** The age of [lastReport] at [nowMs]. */
    public fun reportAgeMs(nowMs: Long): Long? = lastReport?.let { nowMs - reportedAtMs }

    /** The estimate at [nowMs]. */
    public fun requestsAt(nowMs: Long): Double = ownRequests + othersAt(nowMs)

    /** The load of other entries changes within seconds, so an old report counts less and less. */
    private fun othersAt(nowMs: Long): Double = othersAtReport * exp((reportedAtMs - nowMs) / REPORT_DECAY_MS)

    private companion object {
        const val REPORT_DECAY_MS = 2_000.0
    }
}
