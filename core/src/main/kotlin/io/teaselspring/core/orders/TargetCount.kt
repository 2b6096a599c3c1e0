/*
 * How many instances of an upstream one data centre should run: as many as the demand needs, within the configured
 * bounds and opening hours. More are ordered at once; fewer only after the lower need has lasted.
 */
package io.teaselspring.core.orders

import io.teaselspring.core.config.OpenHours
import io.teaselspring.core.config.Upstream
import kotlin.math.ceil

private const val HOUR_MS = 3_600_000L
private const val HOURS_PER_DAY = 24

/**
 * Demand for an upstream in one data centre: requests [running] and [queued] on its instances, and how many requests
 * one instance runs at a time.
 */
public data class UpstreamDemand(
    val running: Int,
    val queued: Int,
    val limitPerInstance: Int,
)

/**
 * Rules of scaling. Instances are meant to be filled to [targetFillPct]; a lower count is ordered when the need was
 * lower for [lowerAfterMs], to the highest need of that time.
 */
public data class ScalingPolicy(
    val targetFillPct: Int = 70,
    val lowerAfterMs: Long = 600_000,
    val maxStep: Int = 4,
)

/** What scaling remembers of one upstream: since when less is needed than [count], and the highest need since then. */
public data class ScalingState(
    val count: Int,
    val lowerSinceMs: Long? = null,
    val highestNeed: Int = 0,
)

/** Whether [wallMs], in milliseconds since 1970, is within these hours, in UTC. */
public fun OpenHours?.isOpenAt(wallMs: Long): Boolean {
    if (this == null) return true
    val hour = (Math.floorMod(wallMs, HOURS_PER_DAY * HOUR_MS) / HOUR_MS).toInt()
    return if (fromHour < toHour) hour in fromHour until toHour else hour >= fromHour || hour < toHour
}

/** The number of instances that [demand] needs at [wallMs], before hysteresis. A closed one keeps what still runs. */
public fun Upstream.neededCount(
    demand: UpstreamDemand,
    policy: ScalingPolicy,
    wallMs: Long,
): Int {
    val perInstance = maxOf(1.0, demand.limitPerInstance * policy.targetFillPct / 100.0)
    val isOpen = hours.isOpenAt(wallMs)
    val work = if (isOpen) demand.running + demand.queued else demand.running
    return ceil(work / perInstance).toInt().coerceIn(if (isOpen) minCount else 0, maxCount)
}

/** The state, and with it the count to order, after [need] instances are needed at [nowMs] on a monotonic clock. */
public fun ScalingState.next(
    need: Int,
    policy: ScalingPolicy,
    nowMs: Long,
): ScalingState {
    val sinceMs = lowerSinceMs ?: nowMs
    val highest = if (lowerSinceMs == null) need else maxOf(highestNeed, need)
    return when {
        need > count -> ScalingState(minOf(need, count + policy.maxStep))
        need == count -> ScalingState(count)
        nowMs - sinceMs >= policy.lowerAfterMs -> ScalingState(maxOf(highest, count - policy.maxStep))
        else -> ScalingState(count, sinceMs, highest)
    }
}
