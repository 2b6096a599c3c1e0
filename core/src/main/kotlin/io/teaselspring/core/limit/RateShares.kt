/*
 * Division of a rate limit among entries: a distributed rate limiter with leased shares. The shares of one limit stand
 * in one row of the store, changed by compare-and-set, so their sum never exceeds the limit. An entry takes a share
 * when it has requests, renews it, and lets it expire when it has none. Shares are max-min fair: an entry gets what it
 * wants up to an equal part of the limit, and more than that while the others want less.
 */
package io.teaselspring.core.limit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The part of a limit that the entry [holder] may use until [untilMs] of the store's clock, and what it wanted.
 */
@Serializable
public data class RateShare(
    val holder: String,
    @SerialName("requests_per_second") val perSecond: Double,
    @SerialName("wanted_per_second") val wantedPerSecond: Double,
    @SerialName("until_ms") val untilMs: Long,
)

/** The [shares] of a limit of [perSecond] requests a second. */
@Serializable
public data class RateShares(
    @SerialName("requests_per_second") val perSecond: Double,
    val shares: List<RateShare> = emptyList(),
) {
    /** The shares that are valid at [nowMs], within a limit of [limitPerSecond]. */
    internal fun validAt(
        limitPerSecond: Double,
        nowMs: Long,
    ): List<RateShare> {
        // A holder that learns of a lower limit reduces its share in proportion, before it renews it.
        val scale = if (limitPerSecond < perSecond) limitPerSecond / perSecond else 1.0
        return shares.filter { it.untilMs > nowMs }.map { it.copy(perSecond = it.perSecond * scale) }
    }
}

/**
 * The share of [limitPerSecond] that [holder] may have beside the other [shares] until [untilMs]: as much of
 * [wantedPerSecond] as is fair and as the others have left. It may be 0 until the others have reduced theirs.
 */
internal fun fairShare(
    holder: String,
    wantedPerSecond: Double,
    limitPerSecond: Double,
    shares: List<RateShare>,
    untilMs: Long,
): RateShare {
    val others = shares.filter { it.holder != holder }
    val equalPart = limitPerSecond / (others.size + 1)
    val unwanted = limitPerSecond - others.sumOf { minOf(it.wantedPerSecond, equalPart) }
    val free = limitPerSecond - others.sumOf { it.perSecond }
    val perSecond = minOf(wantedPerSecond, free, maxOf(equalPart, unwanted)).coerceAtLeast(0.0)
    return RateShare(holder, perSecond, wantedPerSecond, untilMs)
}

/** These shares with [share] in place of that of its holder, or at the end. */
internal fun List<RateShare>.with(share: RateShare): List<RateShare> =
    if (any { it.holder == share.holder }) map { if (it.holder == share.holder) share else it } else this + share

/**
 * The most entries that may share a limit of [perSecond]. Each may send one saved request at any time, so in four
 * seconds the instance gets at most four times its limit and one request for each holder. With few holders a holder
 * waits at most a few seconds for its next request.
 */
internal fun maxHolders(perSecond: Double): Int =
    minOf(perSecond * MAX_INTERVAL_S, perSecond + EXTRA_HOLDERS, MAX_HOLDERS).toInt().coerceAtLeast(1)

private const val MAX_INTERVAL_S = 3
private const val EXTRA_HOLDERS = 4

/** Bounds the size of the row. */
private const val MAX_HOLDERS = 400.0
