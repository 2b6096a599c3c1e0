/*
 * Authorisation of a request by the configuration, and the attributes of the request that result from it.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.DataCentre
import io.teaselspring.core.Region
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.InstanceRestriction
import io.teaselspring.core.placement.LatencyGroup
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.QueuedRequest
import io.teaselspring.core.placement.StatedOutput
import io.teaselspring.core.placement.latencyGroupOf
import io.teaselspring.core.routing.RoutingConfig
import io.teaselspring.core.routing.RoutingDecision
import io.teaselspring.core.routing.dataCentresIn
import kotlin.time.Duration.Companion.milliseconds

/**
 * A request allowed by version [configVersion] of the configuration, which was then at most [configAgeMs] old.
 * [restriction] tells which instances of [upstream] it may be sent to.
 */
internal class AuthorisedRequest(
    val configVersion: Long,
    val configAgeMs: Long?,
    private val decision: RoutingDecision.Allowed,
    val upstream: UpstreamName,
    val group: LatencyGroup,
    val restriction: InstanceRestriction,
) {
    val route get() = decision.route
    val organisation get() = decision.organisation?.id
    val priority get() = decision.priority

    /** The request for the rest of a stream that software [version] has begun. */
    fun continuedAt(version: String) =
        AuthorisedRequest(
            configVersion,
            configAgeMs,
            decision,
            upstream,
            group,
            restriction.copy(version = version, onlyRecorded = false),
        )

    /** Whether it may be sent to [instance]. */
    fun mayReach(instance: UpstreamInstance): Boolean =
        restriction.allows(instance.registered.dataCentre, instance.version, isRecorded = true)

    /** The request as an element [id] of the queue. It cannot end in time if it starts after [lastStartMs]. */
    fun toQueuedRequest(
        id: Long,
        prompt: List<PromptPart>,
        arrivedMs: Long,
        lastStartMs: Long,
        output: StatedOutput,
    ) = QueuedRequest(
        id,
        prompt,
        group,
        priority,
        arrivedMs,
        lateAfterMs = arrivedMs + route.targetLatencyMs * LATE_AFTER_PCT / PERCENT,
        refuseAfterMs = refuseAfterMs(arrivedMs, lastStartMs),
        restriction = restriction,
        organisation = organisation,
        output = output,
    )

    /** The request as it waits since [sinceMs] for a permit at an instance that [choose] returns. */
    fun toPermitRequest(
        prompt: List<PromptPart>,
        sinceMs: Long,
        deadlineMs: Long,
        choose: () -> UpstreamInstance?,
        waiting: WaitingRequest,
    ) = PermitRequest(upstream, priority, sinceMs, refuseAfterMs(sinceMs, deadlineMs), prompt, choose, waiting)

    private fun refuseAfterMs(
        sinceMs: Long,
        lastStartMs: Long,
    ) = minOf(sinceMs + route.targetLatencyMs * REFUSE_AFTER_PCT / PERCENT, lastStartMs)

    private companion object {
        /** After this share of its latency target a waiting request yields to requests that can still meet theirs. */
        const val LATE_AFTER_PCT = 80
        const val REFUSE_AFTER_PCT = 120
        const val PERCENT = 100
    }
}

/**
 * This decision of [config], which was at most [configAgeMs] old, for a request that goes to [upstream], whose data
 * centres are in [regions].
 */
internal fun RoutingDecision.Allowed.toUpstream(
    upstream: UpstreamName,
    config: RoutingConfig,
    configAgeMs: Long?,
    regions: Map<DataCentre, Region>,
): AuthorisedRequest {
    val group = latencyGroupOf(route.maxEventGapMs, config.eventGapsOf(upstream))
    val restriction = InstanceRestriction(regions.dataCentresIn(allowedRegions), onlyRecorded = route.isResumable)
    return AuthorisedRequest(config.version, configAgeMs, this, upstream, group, restriction)
}

/**
 * Authorises [request] by [config]. If the decision requires a fresher configuration, waits for a confirmed read of it.
 * If no such read succeeds in time, [done] gets a null decision, or on a public route one without the organisation.
 */
internal fun Gateway.authorise(
    config: RoutingConfig,
    request: IncomingRequest,
    done: (config: RoutingConfig, decision: RoutingDecision?) -> Unit,
) {
    fun RoutingConfig.decideRequest() = decide(request.host, request.path, request.headers[settings.headers.key])
    val decision = config.decideRequest()
    val maxAgeMs =
        when {
            decision !is RoutingDecision.Allowed -> settings.certainMs
            decision.organisation != null -> settings.keyFreshnessMs
            else -> Long.MAX_VALUE
        }
    if (maxAgeMs == Long.MAX_VALUE) {
        done(config, decision)
        return
    }
    val isPublic = decision is RoutingDecision.Allowed && decision.route.isPublic
    this.config.awaitFreshness(maxAgeMs, if (isPublic) PUBLIC_REFRESH_TIMEOUT else REFRESH_TIMEOUT) { isFresh ->
        val newest = this.config.current ?: config
        val newDecision = newest.decideRequest()
        done(newest, if (isFresh) newDecision else newDecision.withoutKey())
    }
}

/** What holds of this decision if the key may have been withdrawn; null if that is nothing. */
private fun RoutingDecision.withoutKey(): RoutingDecision? =
    if (this is RoutingDecision.Allowed && route.isPublic) withoutOrganisation() else null

/** A confirmed read takes a few milliseconds; a store that takes this long counts as unavailable. */
private val REFRESH_TIMEOUT = 150.milliseconds

/** Shorter, because the request is served in any case. */
private val PUBLIC_REFRESH_TIMEOUT = 50.milliseconds

/**
 * Parses the caller's list of prompt parts: `ID:TOKENS`, separated by commas; malformed parts are ignored. Numbers are
 * bounded, so that sums of many requests do not overflow.
 */
internal fun parsePromptParts(header: String?): List<PromptPart> =
    header
        ?.split(',')
        ?.mapNotNull { part ->
            val tokens = part.substringAfter(':', "").trim().toLongOrNull()
            tokens?.let { PromptPart(part.substringBefore(':').trim(), it.coerceIn(0, MAX_PART_TOKENS)) }
        }.orEmpty()

private const val MAX_PART_TOKENS = 10_000_000L
