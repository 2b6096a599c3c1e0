/*
 * Usage of requests that an entry passes to upstream instances itself. Each entry has one row per window with absolute
 * counts. The rows are written some seconds before a window closes and soon after it ends, so that a killed entry
 * loses little. The holder of the usage lease sums them up.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import io.teaselspring.core.ClassName
import io.teaselspring.core.Incarnation
import io.teaselspring.core.InstanceId
import io.teaselspring.core.OrganisationId
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
import kotlinx.coroutines.delay
import kotlinx.serialization.json.encodeToJsonElement
import org.slf4j.LoggerFactory
import java.util.TreeMap
import java.util.UUID
import kotlin.math.ceil
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.usage")

/** Requests without an agent all count in one class. */
private val DIRECT_CLASS = ClassName("direct")

/** The process of [instance] that has started now. */
internal fun newIncarnation(instance: InstanceId) = Incarnation("$instance/${UUID.randomUUID()}")

/** The instance whose process this is. */
internal val Incarnation.instance: String get() = value.substringBeforeLast('/')

private class WindowCounts {
    val begun = HashMap<OrganisationId, Long>()
    var rowVersion = ABSENT
    var isStored = false
    var isFinal = false
    var flushId = ""
}

/** Counts the requests that began to run, and stores the counts of the entry [own]. */
internal class DirectUsage(
    private val own: Incarnation,
    private val table: UsageTable,
    private val clock: Clock,
    private val lengthMs: Long,
) {
    private val windows = TreeMap<UsageWindow, WindowCounts>()
    private var isLeaving = false

    /** A request of [organisation] has begun to run. */
    fun began(organisation: OrganisationId) {
        val counts = windows.getOrPut(windowNow()) { WindowCounts() }
        counts.begun.merge(organisation, 1, Long::plus)
        counts.isStored = false
    }

    /** Stores the counts until cancelled, so often that the kill of one of [entries] entries loses little. */
    suspend fun run(entries: () -> Int): Nothing {
        while (true) {
            val stepMs = lengthMs / storesPerWindow(entries())
            // The last write of a window follows its end closely, after requests that began in it have been counted.
            val nowMs = clock.now().toEpochMilliseconds()
            delay((stepMs - Math.floorMod(nowMs - AFTER_END_MS, stepMs)).milliseconds.coerceAtLeast(SHORTEST_WAIT))
            flush()
        }
    }

    /** Stores everything as the last counts of this entry; true if that was possible. */
    suspend fun finish(): Boolean {
        isLeaving = true
        windows.values.forEach { it.isStored = false }
        flush()
        return windows.values.all { it.isStored }
    }

    /** Stores what is not stored; a window that was closed meanwhile is given up. */
    suspend fun flush() {
        // A row for each window, also without requests, lets the reporter see that the window has passed.
        val current = windowNow()
        windows.getOrPut(current) { WindowCounts() }
        val open = windows.filter { (window, counts) -> !counts.isStored || (window < current && !counts.isFinal) }
        open.forEach { (window, counts) -> store(window, counts, isFinal = isLeaving || window < current) }
        windows.entries.removeIf { (window, counts) -> counts.isStored && window < current }
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
        if (error !is PlatformError.Unavailable) resolve(window, counts)
    }

    private suspend fun write(
        window: UsageWindow,
        counts: WindowCounts,
    ): Either<PlatformError, Unit> {
        counts.flushId = UUID.randomUUID().toString()
        val row =
            EntryUsageRow(
                counts.flushId,
                counts.begun.map { (who, begun) ->
                    UsageCount(who, DIRECT_CLASS, requests = begun)
                },
                counts.isFinal,
                isLeaving,
                clock.now().toEpochMilliseconds(),
            )
        val writes =
            listOf(
                write(entryKey(window, own), counts.rowVersion, usageJson.encodeToJsonElement(row)),
                requireAbsent(closedKey(window)),
            )
        return table.transaction(writes).map { counts.rowVersion = it.first() }
    }

    /** Finds out what a write with an unknown outcome, or a failed condition, has left in the store. */
    private suspend fun resolve(
        window: UsageWindow,
        counts: WindowCounts,
    ) {
        val stored = table.read<EntryUsageRow>(entryKey(window, own)).getOrNull()
        counts.rowVersion = stored?.second ?: ABSENT
        if (stored?.first?.flushId == counts.flushId) {
            counts.isStored = true
        } else if (table.isClosed(window).getOrNull() == true) {
            log.warn("event=usage_lost window={} requests={}", window.id, counts.begun.values.sum())
            counts.isStored = true
        }
    }

    private fun windowNow() = usageWindowOf(clock.now().toEpochMilliseconds(), lengthMs)

    companion object {
        /** Share of a window's requests that the kill of an entry may lose: one in this many. */
        private const val LOSS_SHARE = 20
        private const val MOST_STORES = 4

        /** How often each of [entries] entries stores its counts in a window. */
        fun storesPerWindow(entries: Int): Int = ceil(LOSS_SHARE.toDouble() / entries).toInt().coerceAtMost(MOST_STORES)

        private const val AFTER_END_MS = 300L
        private val SHORTEST_WAIT: Duration = 50.milliseconds
    }
}
