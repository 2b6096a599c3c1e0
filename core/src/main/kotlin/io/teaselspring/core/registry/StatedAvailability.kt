/*
 * What an instance says in its responses about the requests that it wants: none any more because it is leaving, or none
 * for a while. The registry's rows are the other source. Leaving holds for the process that said so, also when a row
 * without the mark comes back; a new process starts with a new state.
 */
package io.teaselspring.core.registry

import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Whether an instance wants requests. */
public enum class Availability {
    OPEN,

    /** It asked for a pause that has not ended. */
    PAUSED,

    /** It is about to exit. */
    LEAVING,
}

/** The statements of one process of an instance. Times are monotonic milliseconds. Not thread-safe. */
public class StatedAvailability {
    private var isLeaving = false
    private var pausedAtMs = 0L

    /** When the last pause ends or ended; 0 before the first. */
    public var pausedUntilMs: Long = 0
        private set

    /** Records that the process is leaving; returns whether that is new. */
    public fun recordLeaving(): Boolean = !isLeaving.also { isLeaving = true }

    /** Records a request for no requests in the next [pause]; an earlier one that ends later holds. */
    public fun recordPause(
        pause: Duration,
        nowMs: Long,
    ) {
        // Rounded up twice: the pause, and the clock, which is read in whole milliseconds.
        val untilMs = nowMs + ceil(minOf(pause, MAX_PAUSE).toDouble(DurationUnit.MILLISECONDS)).toLong() + 1
        if (untilMs <= pausedUntilMs) return
        if (nowMs >= pausedUntilMs) pausedAtMs = nowMs
        pausedUntilMs = untilMs
    }

    public fun at(nowMs: Long): Availability =
        when {
            isLeaving -> Availability.LEAVING
            nowMs < pausedUntilMs -> Availability.PAUSED
            else -> Availability.OPEN
        }

    /**
     * Whether the instance, with [ownRequests] of this entry in progress, may get one more. After a pause the number
     * rises to [slots] in as long as the pause took, because an instance without requests would attract all of them.
     */
    public fun admits(
        ownRequests: Int,
        slots: Int,
        nowMs: Long,
    ): Boolean {
        if (at(nowMs) != Availability.OPEN) return false
        val rampMs = minOf(pausedUntilMs - pausedAtMs, MAX_RAMP.inWholeMilliseconds)
        val sinceMs = nowMs - pausedUntilMs
        return sinceMs >= rampMs || ownRequests < 1 + slots * sinceMs / rampMs
    }

    private companion object {
        /** A longer pause is a mistake more likely than a wish; without a bound it would hold until a restart. */
        val MAX_PAUSE = 1.hours
        val MAX_RAMP = 2.seconds
    }
}

/**
 * The pause that the [values] of `Retry-After` headers ask for, in seconds, possibly with a fraction: the longest of
 * them. Null if none is a positive number; a date is none.
 */
public fun parsePause(values: List<String>): Duration? =
    values
        .flatMap { it.split(',') }
        .mapNotNull { it.trim().takeIf(SECONDS::matches)?.toDoubleOrNull() }
        .filter { it > 0 }
        .maxOrNull()
        ?.seconds

private val SECONDS = Regex("[0-9]{1,18}(\\.[0-9]*)?|\\.[0-9]+")
