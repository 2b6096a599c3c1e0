/*
 * Idle instances of latency groups with shorter event gaps, which take prompts of a later group while that has no room.
 * Sizes of groups follow the demand of the last seconds, so a burst of long prompts finds the instances of the other
 * groups idle. A borrowed instance prefills one foreign prompt at a time: a chunk of it between two decoding steps fits
 * the event gaps of the instance's own group, unless the instance is slower than usual.
 */
package io.teaselspring.core.placement

/**
 * Whether the instance may prefill a prompt of another group: nothing of this entry is pending there, no pending tokens
 * of other entries are expected, and at most [MAX_LENT_LOAD] of its slots are taken.
 */
internal fun PoolMember.isIdle(windowTokens: Long): Boolean =
    instance.lendsNow &&
        instance.speed >= 1.0 &&
        instance.pendingPrefillTokens == 0L &&
        pendingTokens <= windowTokens * MAX_LENT_WINDOW &&
        requests <= instance.usableSlots * MAX_LENT_LOAD

/**
 * Whether this entry may use idle instances for prompts of other groups at [nowMs]. All entries see the same idle
 * instance at the same time, and the requests that they send are in none of their reports yet. So in each second about
 * one entry of [entries] may use an instance, drawn by a hash of [entry] and [instance] that needs no agreement.
 */
public fun isLentTo(
    entry: String,
    instance: String,
    entries: Int,
    nowMs: Long,
): Boolean = Math.floorMod(mixedHash("$entry/$instance/${nowMs / LENDING_MS}"), maxOf(1, entries).toLong()) == 0L

private const val LENDING_MS = 1_000L

/** The instance's own group gets the other half at once when its load rises. */
private const val MAX_LENT_LOAD = 0.5
private const val MAX_LENT_WINDOW = 0.1
