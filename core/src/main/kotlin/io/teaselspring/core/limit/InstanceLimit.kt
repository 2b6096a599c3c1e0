/*
 * Whether one entry may send a request to one instance that states a rate limit, or that is cold and has the limit of
 * its upstream's warm-up. The entry sends at the rate of its leased share of the limit ([RateShares]), by a token
 * bucket that holds one request. Without the store it falls back to a small part of the limit ([StandaloneSlots]).
 */
package io.teaselspring.core.limit

import io.teaselspring.core.routing.WarmUp
import kotlin.random.Random

/**
 * The limit of one instance as the entry [holder], one of [entries], knows and keeps it. [demand] is the rate of the
 * requests for the instance's upstream at this entry, which has [instances] instances and the [warmUp] of the
 * configuration in force. [onColdChanged] gets the limit when the instance begins to count as cold, and null when it is
 * warm. Times are monotonic milliseconds unless they are said to be the store's. Not thread-safe.
 */
public class InstanceLimit(
    private val holder: String,
    private val demand: ArrivalRate,
    private val instances: () -> Int,
    private val entries: () -> Int,
    private val random: Random = Random.Default,
    private val policy: LimitPolicy = LimitPolicy(),
    private val warmUp: () -> WarmUp? = { null },
    private val onColdChanged: (perSecond: Double?) -> Unit = {},
) {
    private class HeldShare(
        val perSecond: Double,
        val limitPerSecond: Double,
        val sinceMs: Long,
        val untilMs: Long,
    )

    private val stated = StatedLimit()
    private var coldPerSecond: Double? = null

    /** What is known of the instance's warm-up. */
    public val cold: ColdState = ColdState()
    private var held: HeldShare? = null
    private var tokens = 0.0
    private var tokensAtMs = 0L
    private var nextClaimMs = 0L
    private var isClaiming = false

    /** When claims began to fail because the store did not answer; null while it does. */
    private var storeLostAtMs: Long? = null
    private val slots = StandaloneSlots(policy.slotMs, random)
    private var conflicts = 0
    private var nextAnnouncementMs = 0L

    /** Requests a second that the instance takes from all entries together, or null while it has no limit. */
    public val perSecond: Double? get() = coldPerSecond?.let { minOf(it, stated.perSecond ?: it) } ?: stated.perSecond

    /** Time for which the instance counts as cold, 0 if it is warm. */
    public fun coldLeftMs(nowMs: Long): Long = cold.leftMs(nowMs, warmUp())

    /** Records the limit's [headers] of a response to a request sent at [sentAtMs]; see [StatedLimit.record]. */
    public fun recordResponse(
        headers: List<String>,
        sentAtMs: Long,
        nowMs: Long,
    ): Unit = change(nowMs) { stated.record(headers, sentAtMs, nowMs) }

    /** Adopts what another entry has learned, at [storeMs] of the store's clock; see [StatedLimit.adopt]. */
    public fun adopt(
        announcement: LimitAnnouncement,
        nowMs: Long,
        storeMs: Long,
    ): Unit = change(nowMs) { stated.adopt(announcement, nowMs, storeMs) }

    /**
     * The store has been restored from an older copy: the shares there are not those in use. Every holder gives its own
     * up and waits until the others have noticed as well, which they do when they renew.
     */
    public fun storeRestored(nowMs: Long) {
        refill(nowMs)
        held = null
        nextClaimMs = nowMs + policy.renewMs
        stated.storeRestored()
    }

    /** Whether [isClaimDue] and [announcementDue] are to be asked from time to time. */
    public val isActive: Boolean get() = perSecond != null || stated.isUnannounced

    /** What to announce to the other entries now, or null. It is due again some time later unless it is adopted. */
    public fun announcementDue(
        nowMs: Long,
        storeMs: Long,
    ): LimitAnnouncement? {
        if (nowMs < nextAnnouncementMs) return null
        return stated.announcementDue(nowMs, storeMs)?.also { nextAnnouncementMs = nowMs + ANNOUNCEMENT_INTERVAL_MS }
    }

    private inline fun change(
        nowMs: Long,
        action: () -> Unit,
    ) {
        refill(nowMs)
        val before = perSecond
        val wasCold = isCold
        action()
        // A share of the limit that the instance stated before it became cold may come with too many other holders.
        val begins = before == null || (isCold && !wasCold)
        if (begins && perSecond != null) {
            held = null
            storeLostAtMs = null
            conflicts = 0
            nextClaimMs = nowMs + policy.firstClaimDelayMs(entries(), isCold, random)
            slots.start(nowMs + policy.leaseMs, standaloneIntervalMs())
        }
    }

    private val isCold: Boolean get() = coldPerSecond != null

    /** Applies the limit of a cold instance, and ends it once the instance is warm. */
    private fun updateCold(nowMs: Long) {
        if (coldPerSecond == null && !cold.hasEvidence) return
        val current = warmUp()?.requestsPerSecond?.takeIf { coldLeftMs(nowMs) > 0 }
        if (current == coldPerSecond) return
        change(nowMs) { coldPerSecond = current }
        onColdChanged(current)
    }

    /** The rate at which this entry may send under its share, or null without a valid one. */
    public fun sharePerSecond(nowMs: Long): Double? = if (isShareValid(nowMs)) shareRate() else null

    /** Whether the limit permits this entry to send a request now. */
    public fun hasPermit(nowMs: Long): Boolean {
        updateCold(nowMs)
        if (perSecond == null) return true
        refill(nowMs)
        return if (isShareValid(nowMs)) tokens >= 1 else isInSlot(nowMs)
    }

    /** Records that a request was sent to the instance. */
    public fun requestStarted(nowMs: Long) {
        if (perSecond == null) return
        refill(nowMs)
        if (isShareValid(nowMs)) tokens -= 1 else slots.use(standaloneIntervalMs())
    }

    /** Estimates the time until this entry may send a request; 0 if it may now. */
    public fun waitMs(nowMs: Long): Long {
        if (hasPermit(nowMs)) return 0
        val limit = effectiveLimit() ?: return 0
        val rate = shareRate()
        return if (isShareValid(nowMs) && rate > 0) {
            ((1 - tokens) / rate * MS_PER_S).toLong()
        } else {
            maxOf(0, nextClaimMs - nowMs) + (MS_PER_S / limit).toLong()
        }
    }

    /** Whether the row of shares is to be read now, for [claim]. */
    public fun isClaimDue(nowMs: Long): Boolean {
        updateCold(nowMs)
        return perSecond != null && !isClaiming && nowMs >= nextClaimMs && demand.idleMs(nowMs) <= policy.idleMs
    }

    /** Records that the row is being read for [claim]. */
    public fun claimStarted() {
        isClaiming = true
    }

    /**
     * What to write after [row] was read, at [storeMs] of the store's clock, or null if there is no share to have or to
     * give up. The result of the write goes to [claimSucceeded] or [claimFailed].
     */
    public fun claim(
        row: RateShares?,
        nowMs: Long,
        storeMs: Long,
    ): ShareClaim? {
        val limit = effectiveLimit() ?: return null.also { isClaiming = false }
        val shares = row?.validAt(limit, storeMs).orEmpty()
        val most = policy.mostHolders(limit, isCold)
        // After a fall of the limit there may be more holders than it allows; the first ones keep their shares.
        val position = shares.indexOfFirst { it.holder == holder }.takeIf { it >= 0 } ?: shares.size
        if (position >= most) {
            isClaiming = false
            held = null
            storeLostAtMs = null
            nextClaimMs = nowMs + retryDelayMs()
            return null
        }
        val isRotationDue =
            shares.size >= most &&
                entries() > most &&
                held.let { it != null && nowMs - it.sinceMs >= policy.tenureMs }
        val claim =
            if (isRotationDue) {
                ShareClaim(RateShares(limit, shares.filter { it.holder != holder }), null)
            } else {
                val mean = demand.perSecondAt(nowMs) / maxOf(1, instances())
                // A cold instance may be warm before shares are renewed, so the first ones are equal.
                val least = if (isCold) limit / minOf(most, entries()) else policy.minPerSecond
                val wanted = if (isCold && held == null) least else maxOf(mean * DEMAND_MARGIN, least)
                val share = fairShare(holder, wanted, limit, shares, storeMs + policy.leaseMs)
                ShareClaim(RateShares(limit, shares.with(share)), share)
            }
        reduceTo(claim.share?.perSecond ?: 0.0, limit, nowMs)
        return claim
    }

    /** Uses no more than the write gives, from before it is sent: others may have the rest as soon as it is applied. */
    private fun reduceTo(
        perSecond: Double,
        limitPerSecond: Double,
        nowMs: Long,
    ) {
        refill(nowMs)
        held?.let { if (shareRate() > perSecond) held = HeldShare(perSecond, limitPerSecond, it.sinceMs, it.untilMs) }
    }

    /** The row of [claim] was written by a call that was sent at [sentAtMs]. */
    public fun claimSucceeded(
        claim: ShareClaim,
        sentAtMs: Long,
        nowMs: Long,
    ) {
        isClaiming = false
        conflicts = 0
        storeLostAtMs = null
        val share = claim.share
        refill(nowMs)
        if (share == null) {
            held = null
            nextClaimMs = nowMs + retryDelayMs()
            return
        }
        val untilMs = sentAtMs + policy.leaseMs - policy.safetyMs
        val before = held?.takeIf { nowMs < it.untilMs }
        if (before == null) tokens = 0.0
        held = HeldShare(share.perSecond, claim.row.perSecond, before?.sinceMs ?: sentAtMs, untilMs)
        nextClaimMs = sentAtMs + policy.renewMs
    }

    /** The claim failed; the row may still be written later if its condition then holds. */
    public fun claimFailed(
        failure: ClaimFailure,
        nowMs: Long,
    ) {
        isClaiming = false
        val isConflict = failure == ClaimFailure.CONFLICT
        nextClaimMs = nowMs + if (isConflict) random.jitter(policy.conflictMs shl conflicts) else retryDelayMs()
        if (isConflict) {
            conflicts = minOf(conflicts + 1, MAX_DOUBLINGS)
            storeLostAtMs = null
        } else if (storeLostAtMs == null) {
            storeLostAtMs = nowMs
        }
    }

    private fun retryDelayMs() = policy.retryDelayMs(entries(), random)

    private fun effectiveLimit() = perSecond?.let { maxOf(it, policy.minPerSecond) }

    private fun isShareValid(nowMs: Long) = held.let { it != null && nowMs < it.untilMs }

    /** The rate of the own share, reduced in proportion if the limit has fallen since the share was granted. */
    private fun shareRate(): Double {
        val share = held ?: return 0.0
        val limit = effectiveLimit() ?: return 0.0
        return if (limit < share.limitPerSecond) share.perSecond * limit / share.limitPerSecond else share.perSecond
    }

    private fun refill(nowMs: Long) {
        val rate = shareRate()
        val depth = maxOf(1.0, rate * BURST_S)
        tokens = minOf(depth, tokens + rate * (nowMs - tokensAtMs) / MS_PER_S)
        tokensAtMs = nowMs
    }

    /** Whether the store has not been reached for a lease's time, and a slot of this entry is open. */
    private fun isInSlot(nowMs: Long): Boolean {
        val lostAtMs = storeLostAtMs
        if (lostAtMs == null || nowMs - lostAtMs < policy.leaseMs) return false
        return slots.isOpen(nowMs, standaloneIntervalMs())
    }

    private fun standaloneIntervalMs(): Long {
        val rate = (effectiveLimit() ?: 1.0) * policy.standaloneFraction(isCold) / entries()
        return (MS_PER_S / rate).toLong().coerceAtLeast(1)
    }

    private companion object {
        const val MS_PER_S = 1_000.0

        /** Requests come unevenly, and some instances are preferred; a share of the mean would make them wait. */
        const val DEMAND_MARGIN = 2.0

        /** Part of a second whose requests a large share may send together. */
        const val BURST_S = 0.1
        const val MAX_DOUBLINGS = 5
        const val ANNOUNCEMENT_INTERVAL_MS = 500L
    }
}
