/*
 * Delays between attempts. Full jitter keeps the instances that failed together from retrying together.
 */
package io.teaselspring.ports

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Exponential backoff from [first] to [longest]. */
public data class Backoff(
    val first: Duration = 100.milliseconds,
    val longest: Duration = 2.seconds,
)

/** A random delay for the wait after failed attempt number [attempt], counted from 0. */
public fun Backoff.delayAfter(
    attempt: Int,
    random: Random,
): Duration {
    val ceilingMs = (first * (1 shl attempt.coerceIn(0, 16))).coerceAtMost(longest).inWholeMilliseconds
    return random.nextLong(ceilingMs / 2, ceilingMs + 1).milliseconds
}
