/*
 * Follows a watched table through outages: reads it as a whole, then takes its changes, and reads it again when the
 * history is lost. A call that brings no response in time counts as an outage, because a connection can go silent.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableChanges
import io.teaselspring.ports.TableContent
import io.teaselspring.ports.WatchedTable
import io.teaselspring.ports.describe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/**
 * When to ask. A call for changes waits up to [wait] for one; the next call follows at least [interval] after the last,
 * so that a busy table costs a bounded number of calls. After an error a call is repeated after [retry] to twice that,
 * and after further errors at growing intervals up to [longestRetry] to twice that.
 */
internal data class FollowTimes(
    val wait: Duration,
    val interval: Duration,
    val retry: Duration = 150.milliseconds,
    val longestRetry: Duration = 600.milliseconds,
)

/** Hears of a followed table; [askedAt] is the moment before the question. */
internal interface TableListener<T> {
    /** The whole table; [afterOutage] tells that changes may have been missed because the table was away. */
    fun content(
        content: Map<String, T?>,
        askedAt: ClockReading,
        afterOutage: Boolean,
    )

    /** The rows that changed, possibly none. */
    fun changes(
        changes: Map<String, T?>,
        askedAt: ClockReading,
    )
}

/** Follows [table], called [name] in logs. */
internal class TableFollower<T>(
    private val name: String,
    private val table: WatchedTable<T>,
    private val times: FollowTimes,
    private val clock: () -> ClockReading,
    private val listener: TableListener<T>,
    private val random: Random = Random.Default,
) {
    private var version: Long? = null
    private var failedSinceMs: Long? = null
    private var failures = 0
    private var isReadingNow = false

    /** Follows the table until cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            val startedMs = clock().monotonicMs
            val error = step()
            if (error != null) {
                failed(error)
                delay(retryDelay())
            } else {
                delay(times.interval - (clock().monotonicMs - startedMs).milliseconds)
            }
        }
    }

    /** A store that is away is asked less and less often, by entries that do not ask in step. */
    private fun retryDelay(): Duration {
        val grown = times.retry * (1 shl minOf(failures - 1, MAX_DOUBLINGS))
        return minOf(grown, times.longestRetry) * (1 + random.nextDouble())
    }

    /**
     * Reads the table at once beside the running call, unless such a read is under way. While the table is known to be
     * away nothing is read, because the calls that wait for it would multiply the calls to the store.
     */
    fun readNow(scope: CoroutineScope) {
        if (isReadingNow || failures > 0) return
        isReadingNow = true
        scope.launch {
            try {
                read()
            } finally {
                isReadingNow = false
            }
        }
    }

    private suspend fun step(): PlatformError? {
        val after = version ?: return read()
        val askedAt = clock()
        return when (val result = table.changes(after, times.wait)) {
            is Either.Left -> result.value
            is Either.Right -> {
                changed(result.value, askedAt)
                null
            }
        }
    }

    private fun changed(
        changes: TableChanges<T>,
        askedAt: ClockReading,
    ) {
        when (changes) {
            TableChanges.HistoryLost -> {
                log.info("event=history_lost table={} version={}", name, version)
                version = null
            }
            is TableChanges.Changed -> {
                back()
                version = maxOf(changes.version, version ?: 0)
                listener.changes(changes.entries, askedAt)
            }
        }
    }

    private suspend fun read(): PlatformError? {
        val askedAt = clock()
        return when (val result = table.read()) {
            is Either.Left -> result.value
            is Either.Right -> {
                took(result.value, askedAt)
                null
            }
        }
    }

    private fun took(
        content: TableContent<T>,
        askedAt: ClockReading,
    ) {
        // A read that was overtaken by a newer response would bring old rows back.
        if (content.version < (version ?: 0)) return
        val wasAway = failedSinceMs != null
        back()
        version = content.version
        listener.content(content.entries, askedAt, wasAway)
    }

    private fun failed(error: PlatformError) {
        failures += 1
        if (failedSinceMs == null) {
            failedSinceMs = clock().monotonicMs
            log.warn("event=dependency_lost dependency=store table={} {}", name, error.describe())
        }
        // What changed meanwhile may have left the history.
        version = null
    }

    private fun back() {
        failures = 0
        val since = failedSinceMs ?: return
        failedSinceMs = null
        val awayMs = clock().monotonicMs - since
        log.info("event=dependency_back dependency=store table={} away_ms={}", name, awayMs)
    }

    private companion object {
        const val MAX_DOUBLINGS = 4
    }
}
