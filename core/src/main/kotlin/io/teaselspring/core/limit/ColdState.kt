/*
 * Whether an instance is cold: it has started recently, or has become cold again, and takes few requests a second until
 * it is warm. What its registry row and its responses state counts; without a statement an instance that has just
 * appeared or that refused connections is taken to be cold, because it may have started a moment ago.
 */
package io.teaselspring.core.limit

import io.teaselspring.core.routing.WarmUp
import kotlin.math.ceil

/** What one entry knows of the warm-up of one instance. Times are monotonic milliseconds. Not thread-safe. */
public class ColdState {
    private var statedUntilMs = 0L

    /** When the instance appeared or started, if it has stated nothing since; null otherwise. */
    private var startedMs: Long? = null

    /** Whether it has refused a connection and has sent no response since. */
    private var isLost = false
    private var evidenceMs = Long.MIN_VALUE

    /** Whether anything has shown that the instance may be or may have been cold. */
    internal val hasEvidence: Boolean get() = evidenceMs != Long.MIN_VALUE

    /**
     * The instance states at [nowMs] that it is cold for [leftMs] more, or warm if that is 0, in reply to a call sent
     * at [askedMs]. A reply to a call from before the last evidence of a start does not show that it is warm.
     */
    public fun recordStated(
        leftMs: Long,
        nowMs: Long,
        askedMs: Long = nowMs,
    ) {
        if (leftMs <= 0 && askedMs < evidenceMs) return
        startedMs = null
        isLost = false
        statedUntilMs = if (leftMs > 0) nowMs + minOf(leftMs, MAX_LEFT_MS) else 0
        if (leftMs > 0) evidenceMs = nowMs
    }

    /** The instance has appeared without a statement; [ageMs] is the time since its start, null if unknown. */
    public fun recordAppeared(
        nowMs: Long,
        ageMs: Long?,
    ) {
        startedMs = nowMs - (ageMs ?: 0)
        evidenceMs = nowMs
    }

    /** The instance's host has refused a connection, so its process has ended; the next one may start at any moment. */
    public fun recordRefused(nowMs: Long) {
        isLost = true
        evidenceMs = nowMs
    }

    /** A response has arrived to a request sent at [sentAtMs]. A process that was lost has started before it. */
    public fun recordResponse(
        sentAtMs: Long,
        nowMs: Long,
    ) {
        if (!isLost || sentAtMs < evidenceMs) return
        isLost = false
        startedMs = nowMs
    }

    /** As the other, and records what the [headers] of the response state; none if it states nothing. */
    public fun recordResponse(
        headers: List<String>,
        sentAtMs: Long,
        nowMs: Long,
    ) {
        recordResponse(sentAtMs, nowMs)
        parseWarmUpLeftMs(headers)?.let { recordStated(it, nowMs, sentAtMs) }
    }

    /** Time at [nowMs] for which the instance counts as cold, 0 if it is warm. Without [warmUp] it never is cold. */
    public fun leftMs(
        nowMs: Long,
        warmUp: WarmUp?,
    ): Long {
        if (warmUp == null) return 0
        if (isLost) return warmUp.durationMs
        val untilMs = maxOf(statedUntilMs, startedMs?.plus(warmUp.durationMs) ?: 0)
        return maxOf(0, untilMs - nowMs)
    }

    private companion object {
        /** A longer warm-up is a mistake more likely than a fact, and would keep the instance out of use. */
        const val MAX_LEFT_MS = 600_000L
    }
}

/**
 * The milliseconds that the [values] of a warm-up header state, the longest of them, rounded up; null if none is a
 * non-negative decimal number.
 */
public fun parseWarmUpLeftMs(values: List<String>): Long? =
    values
        .flatMap { it.split(',') }
        .mapNotNull { it.trim().toDoubleOrNull() }
        .filter { it.isFinite() && it >= 0 }
        .maxOrNull()
        ?.let { ceil(it).toLong() }
