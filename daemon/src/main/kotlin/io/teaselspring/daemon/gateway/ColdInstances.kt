/*
 * Cold instances of an upstream whose configuration states a warm-up: what their registry rows say, and the early
 * refusal of requests while all instances are cold.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.limit.ColdState
import io.teaselspring.core.registry.RegisteredInstance
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/**
 * Records the first row of the process [instance]. Without a statement it counts as new, unless [storeMs], the store's
 * time, is known and shows that it started earlier.
 */
internal fun ColdState.recordRow(
    instance: RegisteredInstance,
    nowMs: Long,
    storeMs: Long?,
) {
    val leftMs = instance.warmUpLeftMs
    if (leftMs != null) return recordStated(leftMs, nowMs)
    val startedAtMs = instance.startedAtMs
    val ageMs = if (storeMs != null && startedAtMs != null) storeMs - startedAtMs else null
    recordAppeared(nowMs, ageMs?.coerceAtLeast(0))
}

internal fun RegisteredInstance.logCold(perSecond: Double?) {
    val event = if (perSecond == null) "instance_warm" else "instance_cold"
    log.info("event={} instance={} upstream={} requests_per_second={}", event, id, upstream, perSecond)
}

/** Why a request is refused on arrival, and when to come back in seconds. */
internal class EarlyRefusal(
    val reason: String,
    val retryAfter: String,
)

/** The refusal of a request of [authorised] if no instance may take it in time, else null. */
internal fun Gateway.earlyRefusal(
    authorised: AuthorisedRequest,
    arrivedMs: Long,
    deadlineMs: Long,
): EarlyRefusal? =
    pausedRetryAfter(authorised, deadlineMs)?.let { EarlyRefusal("all instances are paused", it) }
        ?: coldRetryAfter(authorised, arrivedMs, deadlineMs)?.let { EarlyRefusal("all instances are cold", it) }

/**
 * When to come back in seconds, if all instances that a request of [authorised] may go to are cold and none of them can
 * take it within its target; else null. The time is that of the next permit or of the first warm instance, spread, and
 * no later than the caller waits, whose request ends at [deadlineMs].
 */
private fun Gateway.coldRetryAfter(
    authorised: AuthorisedRequest,
    arrivedMs: Long,
    deadlineMs: Long,
): String? {
    val upstream = authorised.upstream
    val now = nowMs()
    val limits = instances.available(upstream).map { it.limit }
    if (limits.isEmpty() || limits.any { it.coldLeftMs(now) == 0L }) return null
    val waiting = queues.sizeFor(upstream, authorised.priority) + permits.sizeFor(upstream, authorised.priority)
    val perSecond = limits.sumOf { it.sharePerSecond(now) ?: 0.0 }
    val backlogMs = if (waiting == 0) 0.0 else waiting * MS_PER_S / perSecond
    val permitMs = limits.minOf { it.waitMs(now) } + backlogMs
    val expectedMs = minOf(permitMs, limits.minOf { it.coldLeftMs(now) }.toDouble()).toLong()
    val lateAfterMs = minOf(arrivedMs + authorised.route.targetLatencyMs, deadlineMs)
    if (now + expectedMs <= lateAfterMs) return null
    metrics.coldRefused(upstream.value)
    val usableMs = (deadlineMs - now) / RETRY_AFTER_PART
    return secondsText(minOf(expectedMs + randomBelow(SPREAD_MS), usableMs).coerceAtLeast(1))
}

private const val MS_PER_S = 1_000.0

/** Callers honour a `Retry-After` of at most this part of their remaining time. */
private const val RETRY_AFTER_PART = 3
private const val SPREAD_MS = 300
