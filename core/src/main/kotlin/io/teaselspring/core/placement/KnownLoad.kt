/*
 * Load of the instances of an upstream as one entry knows it: its own requests exactly, and those of other entries as
 * the instances reported them with their last responses. An entry among many hears from each instance rarely, so an old
 * report gives way to the mean of the newer reports of similar instances.
 */
package io.teaselspring.core.placement

import kotlin.math.exp
import kotlin.math.sqrt

/** What one entry knows of the requests on one instance. Times are monotonic milliseconds. */
public class KnownLoad {
    /** Requests of this entry that run or wait on the instance. */
    public var ownRequests: Int = 0
        private set

    /** Prompt tokens of [ownRequests] that no other request shares. */
    public var unsharedTokens: Long = 0
        private set

    /** The newest report that this entry has received. */
    public var lastReport: ReportedLoad? = null
        private set
    private var reportedAtMs = 0L

    /** Whether the instance has stated how long work takes on its machine. */
    public val statesWorkTime: Boolean get() = workTime.lastingPct != null

    /** How long work lastingly takes on the instance. */
    public val workTime: WorkTime = WorkTime()

    /** Requests of other entries at the time of [lastReport]. */
    internal var otherRequests = 0
        private set

    /** Records that this entry has sent a request whose own part of the prompt has [unsharedTokens]. */
    public fun requestStarted(unsharedTokens: Long) {
        ownRequests += 1
        this.unsharedTokens += unsharedTokens
    }

    /** Records that a request with [unsharedTokens] has ended. */
    public fun requestEnded(unsharedTokens: Long) {
        ownRequests -= 1
        this.unsharedTokens -= unsharedTokens
    }

    /** Records a [report] that arrived at [nowMs]. */
    public fun record(
        report: ReportedLoad,
        nowMs: Long,
    ) {
        otherRequests = maxOf(0, report.running + report.waiting - ownRequests)
        reportedAtMs = nowMs
        lastReport = report
        report.workTimePct?.let { workTime.record(it, nowMs) }
    }

    /** The age of [lastReport] at [nowMs]. */
    public fun reportAgeMs(nowMs: Long): Long? = lastReport?.let { nowMs - reportedAtMs }

    /** This entry's estimate of all requests on the instance at [nowMs], from its reports alone. */
    public fun requestsAt(nowMs: Long): Double = ownRequests + otherRequests * weightAt(nowMs)

    /** Weight of [lastReport], 1 when it is new: the load of other entries changes within seconds. */
    internal fun weightAt(nowMs: Long): Double =
        if (lastReport == null) 0.0 else exp((reportedAtMs - nowMs) / REPORT_DECAY_MS)

    private companion object {
        const val REPORT_DECAY_MS = 2_000.0
    }
}

/**
 * Estimates the requests of other entries on [instances], which serve the same kind of requests, at [nowMs]. An old
 * report gives way to the mean of newer ones. While no instance reports, all reports count less and less: an entry that
 * sends nothing hears nothing, so it has to try again.
 */
internal class OtherEntriesLoad(
    instances: List<KnownLoad>,
    private val nowMs: Long,
) {
    private val decayedMean: Double

    init {
        var total = 0.0
        var newest = 0.0
        var weighted = 0.0
        for (instance in instances) {
            val weight = instance.weightAt(nowMs)
            total += weight
            newest = maxOf(newest, weight)
            weighted += weight * instance.otherRequests
        }
        decayedMean = if (total > 0) weighted / total * newest else 0.0
    }

    /** Requests of other entries on the instance with [load]. */
    fun requestsOn(load: KnownLoad): Double {
        val weight = load.weightAt(nowMs)
        return weight * load.otherRequests + (1 - weight) * decayedMean
    }
}

/**
 * Requests of all entries that an instance may run before it counts as full. A full instance preempts running requests
 * for more urgent ones, and the estimate of [OtherEntriesLoad] lags behind arrivals at the other entries, whose number
 * varies by its square root. Infinite if the instance doesn't tell its slots.
 */
internal val InstanceView.usableSlots: Double
    get() = slots?.takeIf { it > 0 }?.let { maxOf(1.0, it - sqrt(it.toDouble())) } ?: Double.POSITIVE_INFINITY
