/*
 * What a run knows of its call from the configuration and from the caller's headers.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.CallGroup
import io.teaselspring.core.placement.PromptPart
import io.teaselspring.core.routing.CallDecision

/** A call that the configuration [configVersion] allows. */
internal class AuthorisedCall(
    val configVersion: Long,
    private val decision: CallDecision.Allowed,
    val upstream: UpstreamName,
    val group: CallGroup,
) {
    val route get() = decision.route
    val organisation get() = decision.organisation?.id
    val priority get() = decision.priority
}

/** The parts of a prompt as a caller lists them: `ID:TOKENS`, separated by commas; what cannot be read is left out. */
internal fun parsePromptParts(header: String?): List<PromptPart> =
    header
        ?.split(',')
        ?.mapNotNull { part ->
            val tokens = part.substringAfter(':', "").trim().toLongOrNull()
            tokens?.let { PromptPart(part.substringBefore(':').trim(), it) }
        }.orEmpty()
