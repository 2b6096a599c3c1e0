/*
 * The log line of a decision about a request, with what it rested on.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.InstanceId
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.calls")

/** How a request stands [afterMs] after it arrived; [tried] are the instances that it was offered to, in order. */
internal class RequestLogDetails(
    val reason: String,
    val outcome: String?,
    val tried: Set<InstanceId>,
    val afterMs: Long,
)

/**
 * Logs [event] of the request [requestId] with the configuration that decided on it; [authorised] is null until the
 * request is authorised.
 */
internal fun Gateway.logRequest(
    event: String,
    requestId: String,
    authorised: AuthorisedRequest?,
    details: RequestLogDetails,
) = log.info(
    "event={} request={} outcome={} reason=\"{}\" route={} organisation={} priority={} upstream={}" +
        " instances={} config={} config_age_ms={} after_ms={}",
    event,
    requestId,
    details.outcome,
    details.reason,
    authorised?.route?.name,
    authorised?.organisation,
    authorised?.priority,
    authorised?.upstream,
    details.tried,
    if (authorised == null) config.current?.version else authorised.configVersion,
    if (authorised == null) config.ageMs() else authorised.configAgeMs,
    details.afterMs,
)
