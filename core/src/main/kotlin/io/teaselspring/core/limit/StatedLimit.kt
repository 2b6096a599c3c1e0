/*
 * The rate limit that an instance states in its responses: the requests a second that it takes from all entries
 * together, for as long as its responses say so. Entries announce to each other what they learn, so that an entry which
 * has had no response yet knows the limit as well.
 */
package io.teaselspring.core.limit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.abs

/**
 * What an entry learned at [atMs] of the store's clock: a limit of [perSecond], or null that there is none any more.
 */
@Serializable
public data class LimitAnnouncement(
    @SerialName("requests_per_second") val perSecond: Double?,
    @SerialName("at_ms") val atMs: Long,
)

/** What one entry knows of the limit of one instance. Times are monotonic milliseconds. Not thread-safe. */
public class StatedLimit {
    /** Requests a second for all entries together, or null while there is no limit. */
    public var perSecond: Double? = null
        private set
    private var statedAtMs = Long.MIN_VALUE

    /** When the entry last learned of the limit from a response of its own; null if it did not. */
    private var learnedAtMs: Long? = null
    private var announced: LimitAnnouncement? = null
    private var adoptedAtStoreMs = Long.MIN_VALUE

    /**
     * Records the [headers] of a response that arrived at [nowMs] to a request sent at [sentAtMs]: none if the response
     * states no limit. An unreadable value changes nothing. A limit ends only with a response to a request that was
     * sent after the limit was last stated, because responses on different connections overtake each other.
     */
    public fun record(
        headers: List<String>,
        sentAtMs: Long,
        nowMs: Long,
    ) {
        if (headers.isEmpty()) {
            if (perSecond == null || sentAtMs < statedAtMs) return
            perSecond = null
        } else {
            perSecond = parseRequestsPerSecond(headers) ?: return
            statedAtMs = nowMs
        }
        learnedAtMs = nowMs
    }

    /** Adopts [announcement] of another entry at [storeMs] of the store's clock, unless a later response is known. */
    public fun adopt(
        announcement: LimitAnnouncement,
        nowMs: Long,
        storeMs: Long,
    ) {
        // A store that was restored from an older copy may bring back an older announcement.
        if (announcement.atMs < adoptedAtStoreMs) return
        adoptedAtStoreMs = announcement.atMs
        announced = announcement
        val learnedAtStoreMs = learnedAtMs?.let { storeMs - (nowMs - it) }
        if (learnedAtStoreMs != null && learnedAtStoreMs > announcement.atMs) return
        perSecond = announcement.perSecond
        if (announcement.perSecond != null) statedAtMs = nowMs
    }

    /** The store may have lost the announcement, which is due again where this entry has learned of the limit. */
    internal fun storeRestored() {
        announced = null
    }

    /** Whether the entry has learned something that was not announced yet. */
    internal val isUnannounced: Boolean get() = learnedAtMs != null && !isAbout(perSecond, announced?.perSecond)

    /** What is to be announced at [nowMs], which is [storeMs] of the store's clock; null if the others know it. */
    public fun announcementDue(
        nowMs: Long,
        storeMs: Long,
    ): LimitAnnouncement? {
        val learned = learnedAtMs ?: return null
        return if (isUnannounced) LimitAnnouncement(perSecond, storeMs - (nowMs - learned)) else null
    }

    /** Whether two limits differ so little that the others need not be told. */
    private fun isAbout(
        one: Double?,
        other: Double?,
    ) = if (one == null || other == null) one == other else abs(one - other) <= maxOf(one, other) * TOLERANCE

    private companion object {
        const val TOLERANCE = 0.1
    }
}

/** The smallest of the readable [values] of a limit's header, or null if none is a non-negative decimal number. */
public fun parseRequestsPerSecond(values: List<String>): Double? =
    values
        .flatMap { it.split(',') }
        .mapNotNull { it.trim().toDoubleOrNull() }
        .filter { it.isFinite() && it >= 0 }
        .minOrNull()
