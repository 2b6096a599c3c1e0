/*
 * Times and rates of leased shares, and what an entry writes for one.
 */
package io.teaselspring.core.limit

import kotlin.random.Random

/**
 * Times and rates of shares. A share lasts [leaseMs] after its write was sent; its holder stops [safetyMs] sooner,
 * which covers the error of the store's clock, and renews it every [renewMs]. An entry whose last request for the
 * instance's upstream came more than [idleMs] ago does not renew. While all shares are taken, an entry tries again
 * after [retryMs] to twice that, and after [retryMsPerEntry] for each entry if that is longer. If there are more
 * entries than shares, a holder gives its share up after [tenureMs]. A write that lost a race is repeated after
 * [conflictMs], doubled each time. A limit below [minPerSecond] counts as that, so that some request finds out when
 * the limit ends. Without the store for [leaseMs], all entries together send at most [standaloneFraction] of the
 * limit, each in slots of [slotMs]; of the limit of a cold instance at most [coldStandaloneFraction].
 *
 * A cold instance has at most [coldHolders] holders of shares. In any second it then gets at most its limit and one
 * saved request for each of them: what the bound of one and a half times the limit and five requests leaves is for
 * connections that open late and for entries without the store.
 */
public data class LimitPolicy(
    val leaseMs: Long = 8_000,
    val safetyMs: Long = 500,
    val renewMs: Long = 3_500,
    val idleMs: Long = 3_000,
    val retryMs: Long = 1_500,
    val retryMsPerEntry: Long = 20,
    val firstClaimMsPerEntry: Long = 10,
    val conflictMs: Long = 40,
    val tenureMs: Long = 10_000,
    val minPerSecond: Double = 0.25,
    val standaloneFraction: Double = 0.5,
    val slotMs: Long = 500,
    val coldHolders: Int = 5,
    val coldStandaloneFraction: Double = 0.1,
) {
    internal fun standaloneFraction(isCold: Boolean): Double =
        if (isCold) coldStandaloneFraction else standaloneFraction

    internal fun mostHolders(
        limitPerSecond: Double,
        isCold: Boolean,
    ): Int = maxHolders(limitPerSecond).let { if (isCold) minOf(it, coldHolders) else it }

    /**
     * Entries learn of a limit at about the same time; their claims would conflict with each other. For a cold instance
     * only a few times as many claim as there are shares, and the others later: a data centre that returns to service
     * has many cold instances, and 330 entries would read the row of each.
     */
    internal fun firstClaimDelayMs(
        entries: Int,
        isCold: Boolean,
        random: Random,
    ): Long {
        val claimants = if (isCold) minOf(entries, coldHolders * COLD_CLAIMANTS_PER_SHARE) else entries
        val isFirst = claimants == entries || random.nextInt(entries) < claimants
        return if (isFirst) random.nextLong(firstClaimMsPerEntry * claimants + 1) else retryDelayMs(entries, random)
    }

    internal fun retryDelayMs(
        entries: Int,
        random: Random,
    ): Long = random.jitter(maxOf(retryMs, retryMsPerEntry * entries))

    private companion object {
        const val COLD_CLAIMANTS_PER_SHARE = 4
    }
}

/** A time between [ms] and twice that. */
internal fun Random.jitter(ms: Long): Long = ms + nextLong(ms)

/** A row to write in order to get or give up a share. */
public data class ShareClaim(
    val row: RateShares,
    val share: RateShare?,
)

/** How a claim ended without a share. */
public enum class ClaimFailure { CONFLICT, UNAVAILABLE }
