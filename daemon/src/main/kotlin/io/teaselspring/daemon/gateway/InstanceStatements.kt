/*
 * What an instance says about itself in the head of a response: its limit of requests, its warm-up, that it is leaving,
 * and that it wants a pause.
 */
package io.teaselspring.daemon.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/** Records the statements of [instance] in [response], which arrived at [nowMs] to a request sent at [sentAtMs]. */
internal fun Gateway.recordStatements(
    instance: UpstreamInstance,
    response: HttpResponse,
    sentAtMs: Long,
    nowMs: Long,
) {
    // Another process that answers at the address of the instance says nothing about the instance.
    if (response.status() == HttpResponseStatus.MISDIRECTED_REQUEST) return
    val names = settings.headers
    val headers = response.headers()
    if (instance.recordLimit(headers.getAll(names.requestLimit), sentAtMs, nowMs)) limits.changed()
    instance.limit.cold.recordResponse(headers.getAll(names.warmUpLeft), sentAtMs, nowMs)
    if (names.leaving in headers) instance.recordLeaving()
    if (response.status() == HttpResponseStatus.SERVICE_UNAVAILABLE) {
        instance.recordPause(headers.getAll(HttpHeaderNames.RETRY_AFTER), nowMs)
    }
}

/** Counts an attempt at [instance] if it has a limit of requests, and if it is cold. */
internal fun GatewayMetrics.recordLimits(
    instance: UpstreamInstance,
    nowMs: Long,
) {
    val upstream = instance.registered.upstream.value
    if (instance.limit.perSecond != null) limitedAttempt(upstream)
    if (instance.limit.coldLeftMs(nowMs) > 0) coldAttempt(upstream)
}

/**
 * Records that the instance is leaving if [response] to a call of the entry itself says so. One from another process at
 * the address of the instance says nothing about it.
 */
internal fun UpstreamInstance.recordOwnCall(
    response: HttpCallResponse,
    names: HeaderNames,
) {
    val id = response.header(names.instanceId)
    val isOther = id != null && id != registered.id.value
    val isMisdirected = response.status == HttpResponseStatus.MISDIRECTED_REQUEST.code()
    if (!isOther && !isMisdirected && response.header(names.leaving) != null) recordLeaving()
}
