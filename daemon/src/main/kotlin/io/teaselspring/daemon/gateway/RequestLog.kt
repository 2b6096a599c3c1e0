/*
 * Log line of a request event, with the configuration that decided about the request.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.InstanceId
import io.teaselspring.daemon.http.BodyFraming
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.calls")

/**
 * State of a request [afterMs] after its arrival; [attempted] are the instances tried, in order. A stream had its first
 * event [firstEventMs] after the arrival.
 */
internal class RequestLogDetails(
    val reason: String,
    val outcome: String?,
    val attempted: Set<InstanceId>,
    val afterMs: Long,
    val firstEventMs: Long?,
    val responseEnd: ResponseEnd?,
)

/**
 * The end of the last response of an instance: how the end of its body was marked, and for a stream the events that had
 * arrived and whether it ended within another one.
 */
internal class ResponseEnd(
    val framing: BodyFraming,
    val events: Long?,
    val isInsideEvent: Boolean?,
) {
    /** What had arrived, as a label of a metric. */
    fun label(isBroken: Boolean): String =
        when {
            isBroken -> "broken"
            isInsideEvent == true -> "inside_event"
            events == 0L -> "no_event"
            else -> "whole"
        }
}

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
        " instances={} config={} config_age_ms={} after_ms={} first_event_ms={}" +
        " framing={} events={} inside_event={}",
    event,
    requestId,
    details.outcome,
    details.reason,
    authorised?.route?.name,
    authorised?.organisation,
    authorised?.priority,
    authorised?.upstream,
    details.attempted,
    if (authorised == null) config.current?.version else authorised.configVersion,
    if (authorised == null) config.ageMs() else authorised.configAgeMs,
    details.afterMs,
    details.firstEventMs,
    details.responseEnd?.framing?.label,
    details.responseEnd?.events,
    details.responseEnd?.isInsideEvent,
)

/** The ids of the shared parts of a prompt, and the tokens of it that an entry expects its instance to prefill. */
internal class DispatchedPrompt(
    val sharedParts: Set<String>,
    val uncachedTokens: Long,
)

/** The request that began a stream and the id of the last event that its caller has; null unless it is resumed. */
internal class DispatchedResumption(
    val resumes: String?,
    val afterEventId: String?,
)

/**
 * Logs that the request [requestId] is offered to [instance], its [prompt] and [resumption], and the load that this
 * entry knows of.
 */
internal fun Gateway.logDispatch(
    requestId: String,
    authorised: AuthorisedRequest,
    instance: UpstreamInstance,
    prompt: DispatchedPrompt,
    resumption: DispatchedResumption,
    waitedMs: Long,
) = log.info(
    "event=call_dispatched request={} route={} upstream={} instance={} version={} resumes={} after_event_id={}" +
        " waited_ms={} shared_parts={} uncached_tokens={}" +
        " own_calls={} reported_calls={} report_age_ms={} pending_prefill_tokens={} queued={}",
    requestId,
    authorised.route.name,
    authorised.upstream,
    instance.registered.id,
    instance.registered.version,
    resumption.resumes,
    resumption.afterEventId,
    waitedMs,
    prompt.sharedParts,
    prompt.uncachedTokens,
    instance.load.ownRequests,
    instance.load.lastReport?.let { it.running + it.waiting },
    instance.load.reportAgeMs(nowMs()),
    instance.pendingPrefillTokens,
    queues.size,
)
