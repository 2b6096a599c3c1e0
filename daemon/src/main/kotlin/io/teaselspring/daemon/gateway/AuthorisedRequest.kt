/*
 * What the configuration and the caller's headers say about a request.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.LatencyGroup
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.QueuedRequest
import io.teaselspring.core.routing.RoutingConfig
import io.teaselspring.core.routing.RoutingDecision

/** A request that the configuration [configVersion] allows, which was known to be [configAgeMs] old at most. */
internal class AuthorisedRequest(
    val configVersion: Long,
    val configAgeMs: Long?,
    private val decision: RoutingDecision.Allowed,
    val upstream: UpstreamName,
    val group: LatencyGroup,
) {
    val route get() = decision.route
    val organisation get() = decision.organisation?.id
    val priority get() = decision.priority

    /** The request as the queue sees it, with the number [id]; it has to end at [endsAtMs] in any case. */
    fun queued(
        id: Long,
        prompt: List<PromptPart>,
        arrivedMs: Long,
        endsAtMs: Long,
    ) = QueuedRequest(
        id,
        prompt,
        group,
        priority,
        arrivedMs,
        lateAfterMs = arrivedMs + route.targetLatencyMs * LATE_PCT / PERCENT,
        refuseAfterMs = minOf(arrivedMs + route.targetLatencyMs * REFUSE_PCT / PERCENT, endsAtMs),
    )

    private companion object {
        /** Share of the target after which a request that still waits gives way to those that can make theirs. */
        const val LATE_PCT = 80
        const val REFUSE_PCT = 120
        const val PERCENT = 100
    }
}

/**
 * Decides [request] by [config], or by a newer one where the decision needs newer knowledge than there is; that may
 * take a moment. [done] gets a null decision when such knowledge did not come in time.
 */
internal fun Gateway.authorise(
    config: RoutingConfig,
    request: IncomingRequest,
    done: (config: RoutingConfig, decision: RoutingDecision?) -> Unit,
) {
    fun RoutingConfig.decided() = decide(request.host, request.path, request.headers[settings.headers.key])
    val decision = config.decided()
    val limitMs =
        when {
            decision !is RoutingDecision.Allowed -> settings.certainMs
            decision.organisation != null && !decision.route.isPublic -> settings.keyFreshnessMs
            else -> Long.MAX_VALUE
        }
    if (limitMs == Long.MAX_VALUE) {
        done(config, decision)
        return
    }
    this.config.awaitYounger(limitMs) { isYounger ->
        val newest = this.config.current ?: config
        done(newest, if (isYounger) newest.decided() else null)
    }
}

/** The parts of a prompt as a caller lists them: `ID:TOKENS`, separated by commas; what cannot be read is left out. */
internal fun parsePromptParts(header: String?): List<PromptPart> =
    header
        ?.split(',')
        ?.mapNotNull { part ->
            val tokens = part.substringAfter(':', "").trim().toLongOrNull()
            tokens?.let { PromptPart(part.substringBefore(':').trim(), it) }
        }.orEmpty()
