/*
 * The log line of a decision about a call, with what it rested on.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.InstanceId
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.calls")

/** How a call stands [afterMs] after it arrived; [tried] are the instances that it was offered to, in order. */
internal class CallLogDetails(
    val reason: String,
    val outcome: String?,
    val tried: Set<InstanceId>,
    val afterMs: Long,
)

/**
 * Logs [event] of the request [requestId] with the configuration that decided on it; [call] is null until the call is
 * authorised.
 */
internal fun Gateway.logCall(
    event: String,
    requestId: String,
    call: AuthorisedCall?,
    details: CallLogDetails,
) = log.info(
    "event={} request={} outcome={} reason=\"{}\" route={} organisation={} priority={} upstream={}" +
        " instances={} config={} config_age_ms={} after_ms={}",
    event,
    requestId,
    details.outcome,
    details.reason,
    call?.route?.name,
    call?.organisation,
    call?.priority,
    call?.upstream,
    details.tried,
    if (call == null) config.current?.version else call.configVersion,
    if (call == null) config.ageMs() else call.configAgeMs,
    details.afterMs,
)
