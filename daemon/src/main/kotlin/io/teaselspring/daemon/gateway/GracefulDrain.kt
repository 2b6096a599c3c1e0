/*
 * Graceful drain: decides which requests an entry still accepts while it stops, and when it may exit.
 */
package io.teaselspring.daemon.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A drain that began at [startedAtMs] and gives running requests at most [limit] to finish; times are monotonic. */
internal class GracefulDrain(
    startedAtMs: Long,
    limit: Duration,
) {
    private val deregisteredAtMs = startedAtMs + DEREGISTRATION_DELAY.inWholeMilliseconds
    private val limitAtMs = startedAtMs + limit.inWholeMilliseconds
    private var refusesAll = false

    /**
     * Whether a request with the deadline [requestDeadlineMs] is accepted. During [DEREGISTRATION_DELAY] the load
     * balancer still sends callers here, so every request is accepted; later ones must finish before the process exits.
     */
    fun accepts(
        nowMs: Long,
        requestDeadlineMs: Long,
    ): Boolean = !refusesAll && (nowMs < deregisteredAtMs || requestDeadlineMs <= limitAtMs)

    /** Refuses every further request: the process exits as soon as it has stored its last usage. */
    fun refuseNewRequests() {
        refusesAll = true
    }

    fun isComplete(
        nowMs: Long,
        runningRequests: Int,
    ): Boolean = nowMs > limitAtMs || (runningRequests == 0 && nowMs >= deregisteredAtMs)

    /** Time until the limit of the drain; negative after it. */
    fun remaining(nowMs: Long): Duration = (limitAtMs - nowMs).milliseconds

    companion object {
        /** The load balancer checks readiness every second and removes an instance after two failed checks. */
        val DEREGISTRATION_DELAY = 2_500.milliseconds
    }
}
