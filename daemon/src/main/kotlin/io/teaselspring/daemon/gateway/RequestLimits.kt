/*
 * Rate limits that instances state: keeps this entry's share of each limit through the store, announces limits to the
 * other entries and adopts theirs. Costs nothing while no instance states a limit.
 */
package io.teaselspring.daemon.gateway

import arrow.core.getOrElse
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.limit.ArrivalRate
import io.teaselspring.core.limit.ClaimFailure
import io.teaselspring.core.limit.InstanceLimit
import io.teaselspring.core.limit.LimitAnnouncement
import io.teaselspring.core.limit.RateShares
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.routing.WarmUp
import io.teaselspring.daemon.config.TABLE
import io.teaselspring.ports.ABSENT
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.TableWrite
import io.teaselspring.ports.describe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

private val sharesJson = Json { ignoreUnknownKeys = true }

/** The store's clock: its estimated time, and the same where that is certain. Both are null while unknown. */
internal class StoreTimes(
    val estimatedMs: () -> Long?,
    val certainMs: () -> Long?,
)

/** The limits of all instances as the entry [holder], one of [entryCount], keeps them. */
internal class RequestLimits(
    private val holder: InstanceId,
    private val table: TableStore,
    private val entryCount: () -> Int,
    private val nowMs: () -> Long,
    private val storeTimes: StoreTimes,
    private val warmUpOf: (UpstreamName) -> WarmUp? = { null },
) {
    private val limits = HashMap<String, InstanceLimit>()
    private val instances = HashMap<UpstreamName, Int>()
    private val demand = HashMap<UpstreamName, ArrivalRate>()
    private val announced = HashMap<String, LimitAnnouncement>()

    /** Keys of the rows that this entry has written. */
    private val published = HashSet<String>()
    private val changes = Channel<Unit>(Channel.CONFLATED)

    /** Records that a request for [upstream] has arrived. */
    fun recordDemand(upstream: UpstreamName) = demandFor(upstream).record(nowMs())

    private fun demandFor(upstream: UpstreamName) = demand.getOrPut(upstream) { ArrivalRate() }

    /**
     * The limit of [instance], which has been added or has started anew, or was listed when this entry started
     * ([isFirstRead]).
     */
    fun add(
        instance: RegisteredInstance,
        isFirstRead: Boolean,
    ): InstanceLimit {
        val upstream = instance.upstream
        instances.merge(upstream, 1, Int::plus)
        val limit =
            InstanceLimit(
                holder.value,
                demandFor(upstream),
                { instances.getValue(upstream) },
                entryCount,
                warmUp = { warmUpOf(upstream) },
                onColdChanged = {
                    instance.logCold(it)
                    changed()
                },
            )
        limit.cold.recordRow(instance, nowMs(), storeTimes.certainMs().takeIf { isFirstRead })
        limits[keyOf(instance)] = limit
        announced[keyOf(instance)]?.let { adopt(limit, it) }
        return limit
    }

    /** [instance] is gone or has started anew. */
    fun remove(instance: RegisteredInstance) {
        instances.merge(instance.upstream, -1, Int::plus)
        limits -= keyOf(instance)
        announced -= keyOf(instance)
        changed()
    }

    /** Adopts what other entries have announced, by row key. */
    fun adopt(announcements: Map<String, LimitAnnouncement>) {
        announced += announcements
        announcements.forEach { (key, announcement) -> limits[key]?.let { adopt(it, announcement) } }
    }

    private fun adopt(
        limit: InstanceLimit,
        announcement: LimitAnnouncement,
    ) {
        limit.adopt(announcement, nowMs(), storeTimes.estimatedMs() ?: announcement.atMs)
        changed()
    }

    /** The store has been restored from an older copy. */
    fun storeRestored() {
        limits.values.forEach { it.storeRestored(nowMs()) }
        changed()
    }

    /** A limit has changed, so that there may be something to claim or to announce. */
    fun changed() {
        changes.trySend(Unit)
    }

    /** Claims shares and announces limits until cancelled; looks every [interval] while there are limits. */
    suspend fun run(interval: Duration = 100.milliseconds) {
        coroutineScope {
            while (true) {
                do {
                    startDueCalls()
                    delay(interval)
                } while (limits.values.any { it.isActive })
                changes.receive()
            }
        }
    }

    private fun CoroutineScope.startDueCalls() {
        val now = nowMs()
        limits.forEach { (key, limit) ->
            if (limit.isClaimDue(now)) {
                limit.claimStarted()
                launch { claim(key, limit) }
            }
            storeTimes.estimatedMs()?.let { limit.announcementDue(now, it) }?.let { launch { announce(key, it) } }
        }
        published.filter { it !in limits }.forEach { launch { deleteRows(it) } }
    }

    private suspend fun claim(
        key: String,
        limit: InstanceLimit,
    ) {
        val row =
            table.get(TABLE, key).getOrElse {
                limit.claimFailed(ClaimFailure.UNAVAILABLE, nowMs())
                return
            }
        val storeMs = storeTimes.certainMs()
        if (storeMs == null) {
            limit.claimFailed(ClaimFailure.UNAVAILABLE, nowMs())
            return
        }
        val shares =
            try {
                row?.let { sharesJson.decodeFromJsonElement<RateShares>(it.value) }
            } catch (e: SerializationException) {
                log.error("event=rate_shares_unreadable key={} error=\"{}\"", key, e.message)
                null
            }
        val claim = limit.claim(shares, nowMs(), storeMs) ?: return
        val sentAtMs = nowMs()
        table.put(TABLE, key, sharesJson.encodeToJsonElement(claim.row), row?.version ?: ABSENT).fold(
            {
                val isConflict = it is PlatformError.Conflict
                limit.claimFailed(if (isConflict) ClaimFailure.CONFLICT else ClaimFailure.UNAVAILABLE, nowMs())
            },
            {
                limit.claimSucceeded(claim, sentAtMs, nowMs())
                published += key
                log.info(
                    "event=rate_share_claimed key={} requests_per_second={} limit={} holders={}",
                    key,
                    claim.share?.perSecond,
                    claim.row.perSecond,
                    claim.row.shares.size,
                )
            },
        )
    }

    private suspend fun announce(
        key: String,
        announcement: LimitAnnouncement,
    ) {
        val row = sharesJson.encodeToJsonElement(announcement)
        table.transaction(listOf(TableWrite(SHARED_TABLE, key, ifVersion = null, row))).fold(
            { log.warn("event=limit_not_announced key={} {}", key, it.describe()) },
            {
                published += key
                announced[key] = announcement
                limits[key]?.let { adopt(it, announcement) }
            },
        )
    }

    /**
     * Deletes the rows of an instance that is gone, unless it comes back while other entries may use their shares: on a
     * row without those, entries would take the limit a second time.
     */
    private suspend fun deleteRows(key: String) {
        published -= key
        delay(SHARE_LIFETIME)
        if (key in limits) {
            published += key
            return
        }
        val rows = listOf(SHARED_TABLE, TABLE).map { TableWrite(it, key, ifVersion = null, value = null) }
        table.transaction(rows).onLeft {
            log.warn("event=limit_rows_not_deleted key={} {}", key, it.describe())
        }
    }

    private fun keyOf(instance: RegisteredInstance) = "$LIMIT_KEY_PREFIX${instance.id}/${instance.startedAtMs}"

    private companion object {
        /** Longer than the lease of a share. */
        val SHARE_LIFETIME = 10.seconds
    }
}

/**
 * Estimates the time until this entry may send [authorised] to an instance, with jitter up to twice that; null if no
 * instance holds it back.
 */
internal fun Gateway.permitDelayMs(authorised: AuthorisedRequest): Long? {
    val now = nowMs()
    val waits = instances.available(authorised).map { it.limit.waitMs(now) }.filter { it > 0 }
    return waits.minOrNull()?.let { it + randomBelow(it.toInt() + 1) }
}
