/*
 * The table through which entries tell each other what they have learned from instances: crash reports, one row for
 * each entry, and limits of requests a second, one row for each instance that has stated one. All entries follow it.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.decode.decodeOrNull
import io.teaselspring.core.freshness.StoreGeneration
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.limit.LimitAnnouncement
import io.teaselspring.core.quarantine.CrashReport
import io.teaselspring.ports.WatchedTable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Name of the table. Earlier versions kept only crash reports in it, hence the name. */
const val SHARED_TABLE: String = "teaselspring-crashes"

/** A row of the table that all entries follow. */
sealed interface SharedRow {
    /** What the entry named by the key has seen of crashes. */
    data class Crashes(
        val report: CrashReport,
    ) : SharedRow

    /** The limit of the instance named by the key. */
    data class Limit(
        val announcement: LimitAnnouncement,
    ) : SharedRow
}

/** Prefix of the keys of limits; all other keys are names of entries. */
internal const val LIMIT_KEY_PREFIX = "limit/"

private val rowJson = Json { ignoreUnknownKeys = true }

/** Decodes the row [key]; null if it is unreadable. */
fun decodeSharedRow(
    key: String,
    text: String,
): SharedRow? =
    decodeOrNull {
        if (key.startsWith(LIMIT_KEY_PREFIX)) {
            SharedRow.Limit(rowJson.decodeFromString<LimitAnnouncement>(text))
        } else {
            SharedRow.Crashes(decodeCrashReport(text))
        }
    }

/** Passes the rows of the table on to [crashes] and [limits]. */
internal class SharedRows(
    private val crashes: CrashReports,
    private val limits: RequestLimits,
    private val generation: StoreGeneration,
) : TableListener<SharedRow> {
    override fun onSnapshot(
        rows: Map<String, SharedRow?>,
        askedAt: ClockReading,
        gap: TableGap,
    ) {
        crashes.replaceAll(crashReports(rows), isComplete = gap != TableGap.RESTORE)
        limits.adopt(announcements(rows))
    }

    override fun onChanges(
        changes: Map<String, SharedRow?>,
        askedAt: ClockReading,
    ) {
        crashes.apply(crashReports(changes))
        limits.adopt(announcements(changes))
    }

    /**
     * Follows [table] with long waits, because its rows rarely change. The returned function starts the poll anew. It
     * is called after an outage of a table with shorter waits, which notices a connection that went silent sooner.
     */
    fun follow(
        table: WatchedTable<SharedRow>,
        scope: CoroutineScope,
        clock: () -> ClockReading,
    ): () -> Unit {
        val times = FollowTimes(wait = 10.seconds, interval = 100.milliseconds)
        val follower = TableFollower("shared", table, times, clock, this, generation)
        var job = scope.launch { follower.run() }
        return {
            job.cancel()
            job = scope.launch { follower.run() }
        }
    }

    private fun crashReports(rows: Map<String, SharedRow?>) =
        rows.filterKeys { !it.startsWith(LIMIT_KEY_PREFIX) }.mapValues { (it.value as? SharedRow.Crashes)?.report }

    private fun announcements(rows: Map<String, SharedRow?>) =
        rows.mapNotNull { (key, row) -> (row as? SharedRow.Limit)?.let { key to it.announcement } }.toMap()
}
