/*
 * Exponential backoff with jitter. The delay is random between half the ceiling and the ceiling, so that instances that
 * failed at the same time don't retry at the same time.
 */
package io.teaselspring.ports

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Exponential backoff whose ceiling doubles from [first] up to [longest]. */
public data class Backoff(
    val first: Duration = 100.milliseconds,
    val longest: Duration = 2.seconds,
)

/** Returns a random delay to wait after the failed attempt number [attempt], counted from 0. */
public fun Backoff.delayAfter(
    attempt: Int,
    random: Random,
): Duration {
    val ceilingMs = (first * (1 shl attempt.coerceIn(0, 16))).coerceAtMost(longest).inWholeMilliseconds
    return random.nextLong(ceilingMs / 2, ceilingMs + 1).milliseconds
}
