/*
 * A request with a prompt on its way through the queue of its upstream: what it states about its output, whether it can
 * still end in time, and when its caller should come back if it is refused.
 */
package io.teaselspring.daemon.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.teaselspring.core.placement.EndedStream
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.StatedOutput
import io.teaselspring.core.routing.RouteKind
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** The request [requestId], whose timeout expires at [deadlineMs]; without [parts] it does not queue. */
internal class QueuedPrompt(
    private val gateway: Gateway,
    private val requestId: String,
    private val authorised: AuthorisedRequest,
    private val parts: List<PromptPart>,
    private val output: StatedOutput,
    private val deadlineMs: Long,
) {
    private val upstream = authorised.upstream
    private val isStream = authorised.route.kind == RouteKind.STREAM
    private val pace get() = gateway.fairness.paceOf(upstream)
    private var id: Long? = null

    /** The time that the response takes at least, in milliseconds, or null if it is unknown. */
    private fun leastMs(): Long? = if (isStream) pace?.streams?.leastMs(output, gateway.nowMs()) else null

    /** The refusal of a request that cannot end in time if it starts now, else null. */
    fun earlyRefusal(): EarlyRefusal? {
        if (parts.isEmpty()) return null
        val leastMs = leastMs() ?: return null
        val now = gateway.nowMs()
        val remainingMs = deadlineMs - now
        if (leastMs <= remainingMs) return null
        count("refused_early")
        // A slot of the queue is of no use to it. It may come back as late as callers do, when streams may be faster.
        val usableMs = (remainingMs / RETRY_AFTER_PART).toInt().coerceAtLeast(1)
        val retryAfterMs = usableMs - gateway.randomBelow(usableMs / 2 + 1)
        log.info(
            "event=call_cannot_end request={} route={} upstream={} organisation={} priority={} max_tokens={}" +
                " estimated_tokens={} ms_per_token={} least_ms={} remaining_ms={} retry_after_ms={}",
            requestId,
            authorised.route.name,
            upstream,
            authorised.organisation,
            authorised.priority,
            output.maxTokens,
            output.estimatedTokens,
            pace?.streams?.medianMsPerToken(now),
            leastMs,
            remainingMs,
            retryAfterMs,
        )
        return EarlyRefusal("cannot end in time", secondsText(retryAfterMs.toLong().coerceAtLeast(1)))
    }

    /** Queues the request, which arrived at [arrivedMs]; if it was dispatched before, it has not run. */
    fun enqueue(
        arrivedMs: Long,
        waiting: WaitingRequest,
    ) {
        id?.let { gateway.queues.ended(upstream, it, outputTokens = 0) }
        val newId = gateway.queues.nextId()
        id = newId
        val lastStartMs = leastMs()?.let { deadlineMs - it } ?: deadlineMs
        val request = authorised.toQueuedRequest(newId, parts, arrivedMs, lastStartMs, output)
        gateway.queues.enqueue(upstream, request, waiting)
    }

    /** The request is sent to an instance for the first time. */
    fun dispatched() {
        if (id != null) count("dispatched")
    }

    /** The request has waited too long in the queue; returns `Retry-After` in seconds, or null if that is unknown. */
    fun refusedInQueue(): String? {
        val returns = pace?.returns?.takeIf { id != null } ?: return null
        count("refused_waited")
        val now = gateway.nowMs()
        val waiting = gateway.queues.sizeAt(upstream, authorised.priority)
        val delayMs = returns.delayMs(authorised.priority, waiting, deadlineMs - now, now)
        log.info(
            "event=call_return_planned request={} upstream={} organisation={} priority={} queued={}" +
                " starts_per_second={} retry_after_ms={}",
            requestId,
            upstream,
            authorised.organisation,
            authorised.priority,
            waiting,
            returns.startsPerSecond(authorised.priority, now),
            delayMs,
        )
        return delayMs?.let(::secondsText)
    }

    /** The request has ended with [outcome] after the caller got [stream]. */
    fun ended(
        stream: ForwardedStream,
        outcome: String,
    ) {
        val id = id ?: return
        val eventTokens =
            gateway.config.current
                ?.propertiesOf(upstream)
                ?.eventTokens ?: EVENT_TOKENS
        val outputTokens = stream.completeEvents * eventTokens
        // The output of a response that is no stream is unknown.
        gateway.queues.ended(upstream, id, outputTokens.takeIf { isStream || outcome != ANSWERED })
        val firstEventAtMs = stream.firstEventAtMs ?: return
        if (outcome != ANSWERED) return
        val now = gateway.nowMs()
        pace?.streams?.record(EndedStream(output, outputTokens, now - firstEventAtMs), now)
    }

    private fun count(outcome: String) {
        if (pace == null) return
        val organisation = authorised.organisation?.value ?: "none"
        gateway.metrics.queueDecided(upstream.value, organisation, authorised.priority, outcome)
    }

    private companion object {
        /** Callers honour a `Retry-After` of at most this part of their remaining time. */
        const val RETRY_AFTER_PART = 3

        /** Output tokens of an event where the configuration does not say. */
        const val EVENT_TOKENS = 4
    }
}

/** Outcome of a request whose response reached the caller whole. */
internal const val ANSWERED = "answered"

/** What a request with these headers states about its output. A number that is missing or unreadable is unknown. */
internal fun HttpHeaders.statedOutput(names: HeaderNames): StatedOutput =
    StatedOutput(
        maxTokens = this[names.tokenCount]?.substringAfter(',', "").toTokens(),
        estimatedTokens = this[names.lengthHint].toTokens(),
    )

private fun String?.toTokens(): Long? = this?.trim()?.toLongOrNull()?.takeIf { it in 1..MAX_OUTPUT_TOKENS }

/** Larger numbers are unreadable, so that sums do not overflow. */
private const val MAX_OUTPUT_TOKENS = 10_000_000L
