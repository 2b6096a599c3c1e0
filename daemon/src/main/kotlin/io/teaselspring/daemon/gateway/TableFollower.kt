/*
 * Watches a table of the store by long poll with resume: reads a snapshot, then polls for changes after the last
 * version, and reads a new snapshot when the store no longer has the history or after an outage. A call without a
 * response in time counts as an outage, because a connection can go silent.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import io.teaselspring.core.freshness.StoreGeneration
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.daemon.launchOnce
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableChanges
import io.teaselspring.ports.TableContent
import io.teaselspring.ports.WatchedTable
import io.teaselspring.ports.describe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/**
 * Times of the long poll. A response is due [wait] after the last one, also if no row changes; polls start at least
 * [interval] apart, so that a table that changes often costs a bounded number of calls. Errors are retried with
 * exponential backoff and jitter: after [initialRetryDelay] to twice that at first, counted from the call that failed,
 * later after up to [maxRetryDelay] to twice that. A row whose writer lives stays in the table for at least
 * [rowLifetime] while the table is unavailable.
 */
internal data class FollowTimes(
    val wait: Duration,
    val interval: Duration,
    val initialRetryDelay: Duration = 150.milliseconds,
    val maxRetryDelay: Duration = 600.milliseconds,
    val rowLifetime: Duration = Duration.ZERO,
)

/** What a follower may have missed before a snapshot. */
internal enum class TableGap {
    NONE,

    /** Calls failed, for less time than rows of live writers stay: a missing row was deleted. */
    INTERRUPTION,

    /** The table was unavailable: rows of live writers may be missing. */
    OUTAGE,

    /** The store was restored from an older copy: rows may be older than those known, or missing without a deletion. */
    RESTORE,
}

/** Receives the state of a watched table; [askedAt] is the time just before the call was sent. */
internal interface TableListener<T> {
    /** All rows of the table, after [gap]. */
    fun onSnapshot(
        rows: Map<String, T?>,
        askedAt: ClockReading,
        gap: TableGap,
    )

    /** The rows that have changed, possibly none. */
    fun onChanges(
        changes: Map<String, T?>,
        askedAt: ClockReading,
    )
}

/** Follows [table], called [name] in logs, over the restores that [generation] shows. */
internal class TableFollower<T>(
    private val name: String,
    private val table: WatchedTable<T>,
    private val times: FollowTimes,
    private val clock: () -> ClockReading,
    private val listener: TableListener<T>,
    generation: StoreGeneration? = null,
    private val random: Random = Random.Default,
) {
    private var version: Long? = null
    private var restores = 0
    private var isRestored = false
    private var unavailableSinceMs: Long? = null
    private var answeredAtMs: Long? = null
    private var lastStoreMs: Long? = null
    private var failures = 0
    private var isReadingSnapshot = false

    init {
        generation?.onRestored {
            // Versions are given out again, so none of before may be waited after or compared with.
            restores += 1
            isRestored = true
            version = null
        }
    }

    /** Follows the table until cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            val startedMs = clock().monotonicMs
            val error = pollOnce()
            if (error != null) {
                recordFailure(error)
                // A call that got no response has been waited for already.
                val waitedMs = if (failures == 1) clock().monotonicMs - startedMs else 0
                delay(retryDelay() - waitedMs.milliseconds)
            } else {
                delay(times.interval - (clock().monotonicMs - startedMs).milliseconds)
            }
        }
    }

    /** Exponential backoff with jitter, so that entries do not call an unavailable store in step. */
    private fun retryDelay(): Duration {
        val grown = times.initialRetryDelay * (1 shl minOf(failures - 1, MAX_DOUBLINGS))
        return minOf(grown, times.maxRetryDelay) * (1 + random.nextDouble())
    }

    /**
     * Reads a snapshot at once beside the running poll, unless one is being read. Does nothing while the table is known
     * to be unavailable, because requests that wait for it would multiply the calls to the store.
     */
    fun readNow(scope: CoroutineScope) {
        if (isReadingSnapshot || failures > 0) return
        isReadingSnapshot = true
        scope.launchOnce("${name}_snapshot") {
            try {
                readSnapshot()
            } finally {
                isReadingSnapshot = false
            }
        }
    }

    private suspend fun pollOnce(): PlatformError? {
        val after = version ?: return readSnapshot()
        val askedAt = clock()
        val restoresBefore = restores
        val sinceAnswer = (askedAt.monotonicMs - (answeredAtMs ?: askedAt.monotonicMs)).milliseconds
        return when (val result = table.changes(after, maxOf(times.wait - sinceAnswer, Duration.ZERO))) {
            is Either.Left -> result.value
            is Either.Right -> {
                if (restores == restoresBefore) applyChanges(result.value, askedAt)
                null
            }
        }
    }

    private fun applyChanges(
        changes: TableChanges<T>,
        askedAt: ClockReading,
    ) {
        when (changes) {
            TableChanges.HistoryLost -> {
                log.info("event=history_lost table={} version={}", name, version)
                version = null
            }
            is TableChanges.Changed -> {
                recordAnswer(changes.storeMs, TableGap.NONE)
                // A snapshot read meanwhile has overtaken these changes, and a later one may have undone them.
                if (changes.version < (version ?: 0)) return
                version = changes.version
                notifyListener { listener.onChanges(changes.entries, askedAt) }
            }
        }
    }

    private suspend fun readSnapshot(): PlatformError? {
        val askedAt = clock()
        val restoresBefore = restores
        return when (val result = table.read()) {
            is Either.Left -> result.value
            is Either.Right -> {
                // What was read across a restore may be of either generation; the next poll reads it again.
                if (restores == restoresBefore) applySnapshot(result.value, askedAt)
                null
            }
        }
    }

    private fun applySnapshot(
        snapshot: TableContent<T>,
        askedAt: ClockReading,
    ) {
        // Ignore a snapshot older than the known version: a later call has overtaken it, and it would restore old rows.
        if (snapshot.version < (version ?: 0)) return
        val gap =
            when {
                isRestored -> TableGap.RESTORE
                unavailableSinceMs == null -> TableGap.NONE
                isWithinRowLifetime(snapshot.storeMs) -> TableGap.INTERRUPTION
                else -> TableGap.OUTAGE
            }
        recordAnswer(snapshot.storeMs, gap)
        version = snapshot.version
        isRestored = false
        notifyListener { listener.onSnapshot(snapshot.entries, askedAt, gap) }
    }

    /** Whether the last response is so recent, by the store's clock, that all rows of live writers are still there. */
    private fun isWithinRowLifetime(storeMs: Long?): Boolean {
        val gapMs = (storeMs ?: return false) - (lastStoreMs ?: return false)
        return gapMs in 0 until times.rowLifetime.inWholeMilliseconds
    }

    /** An error in a listener must not end the follower: a new process would read the same rows and end again. */
    private fun notifyListener(call: () -> Unit) {
        try {
            call()
        } catch (e: Exception) {
            log.error("event=listener_failed table={} error=\"{}\"", name, e.toString(), e)
        } catch (e: StackOverflowError) {
            log.error("event=listener_failed table={} error=\"{}\"", name, e.toString())
        }
    }

    private fun recordFailure(error: PlatformError) {
        failures += 1
        if (unavailableSinceMs == null) {
            unavailableSinceMs = clock().monotonicMs
            log.warn("event=dependency_lost dependency=store table={} {}", name, error.describe())
        }
        // Changes during the outage may no longer be in the history, so read a snapshot next.
        version = null
    }

    private fun recordAnswer(
        storeMs: Long?,
        gap: TableGap,
    ) {
        val nowMs = clock().monotonicMs
        unavailableSinceMs?.let { since ->
            log.info(
                "event=dependency_back dependency=store table={} away_ms={} unanswered_ms={} gap={}",
                name,
                nowMs - since,
                answeredAtMs?.let { nowMs - it },
                gap.name.lowercase(),
            )
        }
        failures = 0
        unavailableSinceMs = null
        answeredAtMs = nowMs
        lastStoreMs = storeMs
    }

    private companion object {
        const val MAX_DOUBLINGS = 4
    }
}
