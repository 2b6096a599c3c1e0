/*
 * The table through which entries tell each other what they have learned: crash reports, one row for each entry, limits
 * of requests a second, one row for each instance that has stated one, shares of latency groups, one row for each
 * adaptive upstream, and software versions, one row for each upstream. All entries follow it.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.UpstreamName
import io.teaselspring.core.decode.decodeOrNull
import io.teaselspring.core.freshness.StoreGeneration
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.limit.LimitAnnouncement
import io.teaselspring.core.placement.GroupShares
import io.teaselspring.core.quarantine.CrashReport
import io.teaselspring.daemon.OnTaskFailure
import io.teaselspring.daemon.launchRestarting
import io.teaselspring.ports.WatchedTable
import kotlinx.coroutines.CoroutineScope
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

    /** The shares of the latency groups of the upstream named by the key. */
    data class Groups(
        val shares: GroupShares,
    ) : SharedRow

    /** The software versions of the upstream named by the key. */
    data class Versions(
        val stored: StoredVersions,
    ) : SharedRow
}

/** Prefix of the keys of limits; keys without a prefix are names of entries. */
internal const val LIMIT_KEY_PREFIX = "limit/"

private val rowJson = Json { ignoreUnknownKeys = true }

/** Decodes the row [key]; null if it is unreadable. */
fun decodeSharedRow(
    key: String,
    text: String,
): SharedRow? =
    decodeOrNull {
        when {
            key.startsWith(LIMIT_KEY_PREFIX) -> SharedRow.Limit(rowJson.decodeFromString<LimitAnnouncement>(text))
            key.startsWith(VERSIONS_KEY_PREFIX) -> decodeVersions(text)?.let(SharedRow::Versions)
            key.startsWith(GROUPS_KEY_PREFIX) -> decodeShares(text)?.let(SharedRow::Groups)
            else -> SharedRow.Crashes(decodeCrashReport(text))
        }
    }

/** Passes the rows of the table on to [crashes], [limits], [shares] and [versions]. */
internal class SharedRows(
    private val crashes: CrashReports,
    private val limits: RequestLimits,
    private val shares: GroupShareState,
    private val versions: SoftwareVersions,
    private val generation: StoreGeneration,
) : TableListener<SharedRow> {
    override fun onSnapshot(
        rows: Map<String, SharedRow?>,
        askedAt: ClockReading,
        gap: TableGap,
    ) {
        // Requests with a prompt start once crash reports are known, and need the shares then.
        shares.replaceAll(shares(rows))
        versions.replaceAll(versions(rows))
        crashes.replaceAll(crashReports(rows), isComplete = gap != TableGap.RESTORE)
        limits.adopt(announcements(rows))
    }

    override fun onChanges(
        changes: Map<String, SharedRow?>,
        askedAt: ClockReading,
    ) {
        shares.apply(shares(changes))
        versions.apply(versions(changes))
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
        onTaskFailure: OnTaskFailure,
    ): () -> Unit {
        val times = FollowTimes(wait = 10.seconds, interval = 100.milliseconds)
        val follower = TableFollower("shared", table, times, clock, this, generation)
        val start = { scope.launchRestarting("shared_follower", onTaskFailure) { follower.run() } }
        var job = start()
        return {
            job.cancel()
            job = start()
        }
    }

    private fun crashReports(rows: Map<String, SharedRow?>) =
        rows
            .filterKeys { key -> KEY_PREFIXES.none(key::startsWith) }
            .mapValues { (it.value as? SharedRow.Crashes)?.report }

    private fun versions(rows: Map<String, SharedRow?>) =
        rows
            .filterKeys { it.startsWith(VERSIONS_KEY_PREFIX) }
            .map { (key, row) ->
                UpstreamName(key.removePrefix(VERSIONS_KEY_PREFIX)) to (row as? SharedRow.Versions)?.stored
            }.toMap()

    private fun shares(rows: Map<String, SharedRow?>) =
        rows
            .filterKeys { it.startsWith(GROUPS_KEY_PREFIX) }
            .map { (key, row) ->
                UpstreamName(key.removePrefix(GROUPS_KEY_PREFIX)) to (row as? SharedRow.Groups)?.shares
            }.toMap()

    private fun announcements(rows: Map<String, SharedRow?>) =
        rows.mapNotNull { (key, row) -> (row as? SharedRow.Limit)?.let { key to it.announcement } }.toMap()

    private companion object {
        val KEY_PREFIXES = listOf(LIMIT_KEY_PREFIX, GROUPS_KEY_PREFIX, VERSIONS_KEY_PREFIX)
    }
}
