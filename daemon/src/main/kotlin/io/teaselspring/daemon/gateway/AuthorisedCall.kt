/*
 * What the configuration and the caller's headers say about a call.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.CallGroup
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.placement.QueuedCall
import io.teaselspring.core.routing.CallConfig
import io.teaselspring.core.routing.CallDecision

/** A call that the configuration [configVersion] allows, which was known to be [configAgeMs] old at most. */
internal class AuthorisedCall(
    val configVersion: Long,
    val configAgeMs: Long?,
    private val decision: CallDecision.Allowed,
    val upstream: UpstreamName,
    val group: CallGroup,
) {
    val route get() = decision.route
    val organisation get() = decision.organisation?.id
    val priority get() = decision.priority

    /** The call as the queue sees it, with the number [id]; it has to end at [endsAtMs] in any case. */
    fun queued(
        id: Long,
        prompt: List<PromptPart>,
        arrivedMs: Long,
        endsAtMs: Long,
    ) = QueuedCall(
        id,
        prompt,
        group,
        priority,
        arrivedMs,
        lateAfterMs = arrivedMs + route.targetLatencyMs * LATE_PCT / PERCENT,
        refuseAfterMs = minOf(arrivedMs + route.targetLatencyMs * REFUSE_PCT / PERCENT, endsAtMs),
    )

    private companion object {
        /** Share of the target after which a call that still waits gives way to those that can make theirs. */
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
    config: CallConfig,
    request: CallRequest,
    done: (config: CallConfig, decision: CallDecision?) -> Unit,
) {
    fun CallConfig.decided() = decide(request.host, request.path, request.headers[settings.headers.key])
    val decision = config.decided()
    val limitMs =
        when {
            decision !is CallDecision.Allowed -> settings.certainMs
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
