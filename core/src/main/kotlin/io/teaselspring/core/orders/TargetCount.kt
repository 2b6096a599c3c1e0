/*
 * Autoscaling: how many instances of an upstream one data centre should run. The count follows the demand within the
 * configured bounds and opening hours. Scaling up is immediate; scaling down waits until the lower need has lasted
 * (hysteresis).
 */
package io.teaselspring.core.orders

import io.teaselspring.core.config.OpenHours
import io.teaselspring.core.config.Upstream
import kotlin.math.ceil

private const val HOUR_MS = 3_600_000L
private const val HOURS_PER_DAY = 24

/**
 * Demand for an upstream in one data centre: the requests [running] and [queued] on its instances, and the concurrency
 * limit of one instance.
 */
public data class UpstreamDemand(
    val running: Int,
    val queued: Int,
    val limitPerInstance: Int,
)

/**
 * Autoscaling policy. [targetFillPct] is the target utilisation of an instance. A lower count is ordered after the need
 * was lower for [scaleDownAfterMs], down to the highest need in that time. One order changes the count by at most
 * [maxStep].
 */
public data class ScalingPolicy(
    val targetFillPct: Int = 70,
    val scaleDownAfterMs: Long = 600_000,
    val maxStep: Int = 4,
)

/**
 * Scaling state of one upstream: the ordered [count], since when the need is lower ([lowerSinceMs]), and the highest
 * need since then.
 */
public data class ScalingState(
    val count: Int,
    val lowerSinceMs: Long? = null,
    val highestNeed: Int = 0,
)

/** Whether [wallMs], in milliseconds since 1970, is within these UTC hours; without hours it always is. */
public fun OpenHours?.isOpenAt(wallMs: Long): Boolean {
    if (this == null) return true
    val hour = (Math.floorMod(wallMs, HOURS_PER_DAY * HOUR_MS) / HOUR_MS).toInt()
    return if (fromHour < toHour) hour in fromHour until toHour else hour >= fromHour || hour < toHour
}

/**
 * The number of instances that [demand] needs at [wallMs], before hysteresis. A closed upstream needs only the ones for
 * its running requests.
 */
public fun Upstream.neededCount(
    demand: UpstreamDemand,
    policy: ScalingPolicy,
    wallMs: Long,
): Int {
    val perInstance = maxOf(1.0, demand.limitPerInstance * policy.targetFillPct / 100.0)
    val isOpen = hours.isOpenAt(wallMs)
    val load = if (isOpen) demand.running + demand.queued else demand.running
    return ceil(load / perInstance).toInt().coerceIn(if (isOpen) minCount else 0, maxCount)
}

/** The state, including the count to order, when [need] instances are needed at [nowMs] on a monotonic clock. */
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
        nowMs - sinceMs >= policy.scaleDownAfterMs -> ScalingState(maxOf(highest, count - policy.maxStep))
        else -> ScalingState(count, sinceMs, highest)
    }
}
