/*
 * Usage of an agentless entry: counts and stores its own requests, reports closed windows while it holds the usage
 * lease, and stores again what a restore of the store may have undone.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.Incarnation
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.capacity.GroupDemand
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.placement.LatencyGroup
import io.teaselspring.core.usage.EntryUsageRow
import io.teaselspring.core.usage.UsageWindow
import io.teaselspring.daemon.OnTaskFailure
import io.teaselspring.daemon.launchRestarting
import io.teaselspring.daemon.lease.LeaseKeeper
import io.teaselspring.daemon.usage.USAGE_LEASE
import io.teaselspring.daemon.usage.UsageReporter
import io.teaselspring.daemon.usage.UsageTable
import io.teaselspring.ports.UsageIntake
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** The usage of the entry [incarnation]; there are [assumedEntries] entries until their number is known. */
internal class GatewayUsage(
    private val incarnation: Incarnation,
    clock: () -> ClockReading,
    private val platform: GatewayPlatform,
    private val times: GatewayTimes,
    assumedEntries: Int,
) {
    private val lengthMs = times.usageWindow.inWholeMilliseconds
    private val sharedClock = SharedClock(platform.table, { platform.storeClock.nowMs(clock()) })
    private val entries = EntryCount(platform.table, assumedEntries)
    private val table = UsageTable(platform.table)
    private val counts = DirectUsage(incarnation, table, sharedClock, lengthMs)
    private val lease =
        LeaseKeeper(
            USAGE_LEASE,
            incarnation,
            platform.table,
            Clock.System,
            TimeSource.Monotonic,
            times.leaseTimes,
            storeNowMs = { platform.storeClock.certainNowMs(clock()) },
            storeGeneration = platform.storeGeneration::current,
        )
    private val completeness =
        UsageCompleteness(
            incarnation,
            table,
            sharedClock,
            lengthMs,
            times.usagePatience,
            entries::store,
            platform.storeGeneration::current,
            { window, rows -> onRows(window, rows) },
        )

    /** Gets the rows of all entries in a window that this entry is about to report, possibly more than once. */
    var onRows: (UsageWindow, Collection<EntryUsageRow>) -> Unit = { _, _ -> }
    private val restored = Channel<Unit>(Channel.CONFLATED)

    /** The number of entries that serve requests. */
    val entryCount: Int get() = entries.value

    /** Whether this entry may report usage now. */
    val isLeaseHeld: Boolean get() = epochToSend() != null

    /** The epoch of the usage lease while this entry holds it, else null. */
    fun epochToSend(): Long? = lease.epochToSend()

    /** Counts a request of [organisation] that has started to run. */
    fun recordRequest(organisation: OrganisationId) = counts.recordRequest(organisation)

    /** Adds [demand] to that of [group] on [upstream]; nothing stores it in an entry that does not report usage. */
    fun recordDemand(
        upstream: UpstreamName,
        group: LatencyGroup,
        demand: GroupDemand,
    ) {
        if (platform.usage != null) counts.recordDemand(upstream, group, demand)
    }

    /** Stores counts and reports windows to [intake] until cancelled; [onTaskFailure] gets the failures on the way. */
    suspend fun report(
        intake: UsageIntake,
        onTaskFailure: OnTaskFailure,
    ) {
        sharedClock.establishOrigin()
        val reporter =
            UsageReporter(
                incarnation,
                table,
                intake,
                sharedClock,
                lease::epochToSend,
                lengthMs,
                times.usageGrace,
                times.leaseTimes.orderDeadlineMs.milliseconds,
                completeness::readiness,
            )
        counts.storeAgain(platform.storeGeneration.current)
        platform.storeGeneration.onRestored {
            lease.storeRestored()
            completeness.storeRestored()
            restored.trySend(Unit)
        }
        coroutineScope {
            val storeAgainOnFailure = { task: String ->
                restored.trySend(Unit)
                onTaskFailure(task)
            }
            launchRestarting("usage_after_restore", storeAgainOnFailure) { storeAgainAfterRestores(reporter) }
            launchRestarting("entry_count", onTaskFailure) { entries.run() }
            launchRestarting("usage_counts", onTaskFailure) { counts.run(entries::value) }
            launchRestarting("usage_lease", onTaskFailure) { lease.run() }
            launchRestarting("usage_reporter", onTaskFailure) { reporter.run(times.usageInterval) }
        }
    }

    /**
     * After each restore of the store, stores again what the usage of recent windows depends on: the origin of the
     * shared clock, what this entry knows of reported windows, and only then its counts, whose generation confirms
     * the rest.
     */
    private suspend fun storeAgainAfterRestores(reporter: UsageReporter): Nothing {
        while (true) {
            restored.receive()
            do {
                val generation = platform.storeGeneration.current
                val isStored = sharedClock.storeAgain().isRight() && reporter.storeAgain().isRight()
                if (!isStored) delay(RETRY_INTERVAL)
            } while (!isStored || generation != platform.storeGeneration.current)
            counts.storeAgain(platform.storeGeneration.current)
        }
    }

    /** Gives up the lease, before the process stops. */
    suspend fun resign() = lease.resign()

    /** Retries to store the last counts for [limit] or a little longer, because they are lost with the process. */
    suspend fun storeFinalCounts(limit: Duration) {
        withTimeoutOrNull(maxOf(limit, MIN_FINAL_TIME)) {
            while (!counts.storeFinalCounts()) delay(RETRY_INTERVAL)
        }
            ?: log.warn(
                "event=usage_lost reason=\"final counts not stored within the drain's time limit; dropping them\"",
            )
    }

    private companion object {
        val MIN_FINAL_TIME = 500.milliseconds
        val RETRY_INTERVAL = 250.milliseconds
    }
}
