/*
 * What an entry still takes while it stops.
 */
package io.teaselspring.daemon.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A planned stop that began at [startedAtMs] and leaves requests until [endsAtMs]; both are monotonic. */
internal class PlannedStop(
    private val startedAtMs: Long,
    limit: Duration,
) {
    private val endsAtMs = startedAtMs + limit.inWholeMilliseconds
    private var isClosed = false

    /**
     * Whether a request that ends at [requestEndsAtMs] at the latest may still begin. Until [HANDOVER] is over, callers
     * cannot know of the stop and all are taken; later ones must not outlive the process.
     */
    fun accepts(
        nowMs: Long,
        requestEndsAtMs: Long,
    ): Boolean = !isClosed && (nowMs < startedAtMs + HANDOVER.inWholeMilliseconds || requestEndsAtMs <= endsAtMs)

    /** Takes no further request: the process ends as soon as it has stored its last usage. */
    fun close() {
        isClosed = true
    }

    fun isOver(
        nowMs: Long,
        runningRequests: Int,
    ): Boolean = nowMs > endsAtMs || (runningRequests == 0 && nowMs >= startedAtMs + HANDOVER.inWholeMilliseconds)

    /** Time left at [nowMs]; negative after the end. */
    fun left(nowMs: Long): Duration = (endsAtMs - nowMs).milliseconds

    companion object {
        /** The balancer asks for readiness once a second and takes an instance out after two misses. */
        val HANDOVER = 2_500.milliseconds
    }
}
