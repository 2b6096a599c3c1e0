/*
 * Usage of requests that an agentless entry sends to upstream instances itself. Each entry has one row per window with
 * absolute counts, stored some seconds before the window closes and soon after it ends, so that a killed entry loses
 * little. The holder of the usage lease sums up the rows.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import io.teaselspring.core.ClassName
import io.teaselspring.core.Incarnation
import io.teaselspring.core.InstanceId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.capacity.DemandCounter
import io.teaselspring.core.capacity.GroupDemand
import io.teaselspring.core.capacity.encodeDemand
import io.teaselspring.core.placement.LatencyGroup
import io.teaselspring.core.usage.EntryUsageRow
import io.teaselspring.core.usage.UsageCount
import io.teaselspring.core.usage.UsageWindow
import io.teaselspring.core.usage.usageWindowOf
import io.teaselspring.daemon.usage.UsageTable
import io.teaselspring.daemon.usage.closedKey
import io.teaselspring.daemon.usage.entryKey
import io.teaselspring.daemon.usage.requireAbsent
import io.teaselspring.daemon.usage.usageJson
import io.teaselspring.daemon.usage.write
import io.teaselspring.ports.ABSENT
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.describe
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.encodeToJsonElement
import org.slf4j.LoggerFactory
import java.util.TreeMap
import java.util.UUID
import kotlin.math.ceil
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.usage")

/** Service class of all requests that are not sent through an agent. */
private val DIRECT_CLASS = ClassName("direct")

/** A new incarnation of [instance], for the process that starts now. */
internal fun newIncarnation(instance: InstanceId) = Incarnation("$instance/${UUID.randomUUID()}")

/** The instance of this incarnation. */
internal val Incarnation.instance: String get() = value.substringBeforeLast('/')

private class WindowCounts {
    val requests = HashMap<OrganisationId, Long>()
    val demand = DemandCounter()
    var rowVersion = ABSENT
    var isStored = false
    var isFinal = false
    var flushId = ""
}

/** Counts are kept for longer than a copy is old from which the store may be restored. */
internal const val RETAINED_USAGE_MS = 30_000L

/** Counts requests that started to run, and stores the counts as rows of [incarnation]. */
internal class DirectUsage(
    private val incarnation: Incarnation,
    private val table: UsageTable,
    private val clock: Clock,
    private val lengthMs: Long,
) {
    private val windows = TreeMap<UsageWindow, WindowCounts>()
    private val restored = Channel<Unit>(Channel.CONFLATED)

    /** The generation of the store in which all that this entry knows of reported windows is stored. */
    private var generation: Long? = null
    private var isStopping = false

    /** Counts a request of [organisation] that has started to run. */
    fun recordRequest(organisation: OrganisationId) {
        val counts = windows.getOrPut(currentWindow()) { WindowCounts() }
        counts.requests.merge(organisation, 1, Long::plus)
        counts.isStored = false
    }

    /**
     * Adds [demand] to that of [group]. It is stored with the counts, at the latest with the last ones of the window,
     * and causes no write of its own.
     */
    fun recordDemand(
        upstream: UpstreamName,
        group: LatencyGroup,
        demand: GroupDemand,
    ) = windows.getOrPut(currentWindow()) { WindowCounts() }.demand.record(upstream, group, demand)

    /** Stores the counts until cancelled, at intervals that limit the loss when one of [entries] entries is killed. */
    suspend fun run(entries: () -> Int): Nothing {
        while (true) {
            val stepMs = lengthMs / storesPerWindow(entries())
            // The last write of a window comes shortly after its end, when all its requests have been counted.
            val nowMs = clock.now().toEpochMilliseconds()
            val wait = (stepMs - Math.floorMod(nowMs - STORE_AFTER_END_MS, stepMs)).milliseconds.coerceAtLeast(MIN_WAIT)
            withTimeoutOrNull(wait) { restored.receive() }
            flush()
        }
    }

    /**
     * Stores the counts of recent windows again, because the store may have lost them. What this entry knows of
     * reported windows is stored in [generation] of the store.
     */
    fun storeAgain(generation: Long?) {
        this.generation = generation
        windows.values.forEach { it.isStored = false }
        restored.trySend(Unit)
    }

    /** Stores all counts and marks them as the last ones of this entry; returns whether that succeeded. */
    suspend fun storeFinalCounts(): Boolean {
        isStopping = true
        windows.values.forEach { it.isStored = false }
        flush()
        return windows.values.all { it.isStored }
    }

    /** Stores counts that are not stored yet; counts of a window that has been closed are dropped. */
    suspend fun flush() {
        // A row for each window, also without requests, shows the reporter that the window has ended.
        val current = currentWindow()
        windows.getOrPut(current) { WindowCounts() }
        val open = windows.filter { (window, counts) -> !counts.isStored || (window < current && !counts.isFinal) }
        open.forEach { (window, counts) -> store(window, counts, isFinal = isStopping || window < current) }
        val oldest = UsageWindow(current.startMs - maxOf(RETAINED_USAGE_MS, 2 * lengthMs))
        windows.entries.removeIf { (window, counts) -> counts.isStored && window < oldest }
    }

    private suspend fun store(
        window: UsageWindow,
        counts: WindowCounts,
        isFinal: Boolean,
    ) {
        counts.isStored = true
        counts.isFinal = isFinal
        val error = write(window, counts).leftOrNull() ?: return
        counts.isStored = false
        log.warn("event=usage_not_stored window={} {}", window.id, error.describe())
        if (error !is PlatformError.Unavailable) resolveFailedWrite(window, counts)
    }

    private suspend fun write(
        window: UsageWindow,
        counts: WindowCounts,
    ): Either<PlatformError, Unit> {
        counts.flushId = UUID.randomUUID().toString()
        val row =
            EntryUsageRow(
                counts.flushId,
                counts.requests.map { (organisation, requests) ->
                    UsageCount(organisation, DIRECT_CLASS, requests = requests)
                },
                counts.isFinal,
                isStopping,
                clock.now().toEpochMilliseconds(),
                generation,
                encodeDemand(counts.demand.sums),
            )
        val writes =
            listOf(
                write(entryKey(window, incarnation), counts.rowVersion, usageJson.encodeToJsonElement(row)),
                requireAbsent(closedKey(window)),
            )
        return table.transaction(writes).map { counts.rowVersion = it.first() }
    }

    /** Reads the row back after a write with an unknown outcome or a failed condition. */
    private suspend fun resolveFailedWrite(
        window: UsageWindow,
        counts: WindowCounts,
    ) {
        val stored = table.read<EntryUsageRow>(entryKey(window, incarnation)).getOrNull()
        counts.rowVersion = stored?.second ?: ABSENT
        if (stored?.first?.flushId == counts.flushId) {
            counts.isStored = true
        } else if (table.isClosed(window).getOrNull() == true) {
            log.warn("event=usage_lost window={} requests={}", window.id, counts.requests.values.sum())
            counts.isStored = true
        }
    }

    private fun currentWindow() = usageWindowOf(clock.now().toEpochMilliseconds(), lengthMs)

    companion object {
        /** A killed entry may lose at most 1 / [MAX_LOSS_DIVISOR] of the requests of a window. */
        private const val MAX_LOSS_DIVISOR = 20
        private const val MAX_STORES_PER_WINDOW = 4

        /** How often each of [entries] entries stores its counts in a window. */
        fun storesPerWindow(entries: Int): Int =
            ceil(MAX_LOSS_DIVISOR.toDouble() / entries).toInt().coerceAtMost(MAX_STORES_PER_WINDOW)

        private const val STORE_AFTER_END_MS = 300L
        private val MIN_WAIT: Duration = 50.milliseconds
    }
}
