/*
 * Routing: resolves the upstream, service class and model of a caller's request from the configuration.
 */
package io.teaselspring.daemon.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.ClassName
import io.teaselspring.core.ModelName
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.config.CHAT_PATH
import io.teaselspring.core.config.MAX_REQUEST_TIMEOUT_MS
import io.teaselspring.core.config.Route
import io.teaselspring.core.config.ServiceClass
import io.teaselspring.core.config.UNSPECIFIED_TIERS
import io.teaselspring.core.config.routeOf
import io.teaselspring.core.config.upstreamOf
import io.teaselspring.daemon.config.Caller
import io.teaselspring.daemon.config.SiteView
import io.teaselspring.daemon.http.forUpstream
import io.teaselspring.protocol.Header
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.RequestKind

/** Header with the caller's timeout for the request, in milliseconds. */
const val TIMEOUT_HEADER = "X-Request-Timeout-Ms"

/** Class of requests on routes whose class is not configured: the lowest priority. */
private val FALLBACK_CLASS = ServiceClass(tier = Int.MAX_VALUE, firstTokenTargetMs = 60_000)

/** A request as a caller sent it. [path] includes the query. */
internal class CallerRequest(
    val id: RequestId,
    val method: String,
    val path: String,
    val headers: List<Header>,
    val body: ByteArray,
) {
    fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}

/** The upstream of a request, and its service class with the latency targets. */
internal class Destination(
    val upstream: UpstreamName,
    val className: ClassName,
    val serviceClass: ServiceClass,
    val model: ModelName? = null,
    val prefixHash: Long? = null,
)

/** The HTTP request that is sent to the upstream. */
internal class UpstreamRequest(
    val kind: RequestKind,
    val method: String,
    val path: String,
    val headers: List<Header>,
    val body: ByteArray,
)

/** A request with all data that agents need. [responseForm] is the form of the response to the caller. */
internal class RoutedRequest(
    val id: RequestId,
    val caller: Caller?,
    val organisationWeight: Int,
    val destination: Destination,
    val upstreamRequest: UpstreamRequest,
    val responseForm: ResponseForm,
    val idempotent: Boolean,
    val timeoutMs: Long,
) {
    val organisation: OrganisationId? get() = caller?.organisation
    val serviceClass: ServiceClass get() = destination.serviceClass
    val isChat: Boolean get() = upstreamRequest.kind == RequestKind.CHAT

    /** Builds the message that offers this request to an agent as [attempt], [elapsedMs] after its arrival. */
    fun submit(
        attempt: Int,
        displace: Boolean,
        resumeOffset: Long,
        elapsedMs: Long,
    ): Message.Submit =
        Message.Submit(
            requestId = id,
            attempt = attempt,
            organisation = organisation,
            organisationWeight = organisationWeight,
            keyId = caller?.keyId,
            serviceClass = destination.className,
            tier = serviceClass.tier,
            classWeight = serviceClass.weight,
            // The first token of a resumed stream was already sent; the new attempt may queue for the full target.
            firstTokenBudgetMs = serviceClass.firstTokenTargetMs - if (resumeOffset > 0) 0 else elapsedMs,
            betweenTokensTargetMs = serviceClass.betweenTokensTargetMs,
            deadlineMs = timeoutMs - elapsedMs,
            displace = displace,
            idempotent = idempotent,
            kind = upstreamRequest.kind,
            model = destination.model,
            method = upstreamRequest.method,
            path = upstreamRequest.path,
            headers = upstreamRequest.headers,
            body = upstreamRequest.body,
            resumeOffset = resumeOffset,
        )
}

/** Form of the response: the engine's events, one JSON object merged from them, or the unchanged upstream response. */
internal enum class ResponseForm { EVENTS, OBJECT, PASSED_THROUGH }

/** Routes [request] of [caller] by the configuration, or returns the refusal. */
internal fun SiteView.route(
    request: CallerRequest,
    caller: Caller?,
): Either<Refusal, RoutedRequest> {
    val route = site.routeOf(request.path)
    val timeoutMs = request.header(TIMEOUT_HEADER)?.toLongOrNull() ?: MAX_REQUEST_TIMEOUT_MS
    return when {
        timeoutMs !in 1..MAX_REQUEST_TIMEOUT_MS ->
            refused(400, "invalid_request_error", "$TIMEOUT_HEADER must be from 1 to $MAX_REQUEST_TIMEOUT_MS")
        request.path.substringBefore('?') == CHAT_PATH -> routeChat(request, route, caller, timeoutMs)
        route == null -> refused(404, "not_found", "no route for this path")
        else -> routePlain(request, route, caller, timeoutMs).right()
    }
}

private fun SiteView.routePlain(
    request: CallerRequest,
    route: Route,
    caller: Caller?,
    timeoutMs: Long,
) = RoutedRequest(
    id = request.id,
    caller = caller,
    organisationWeight = weightOf(caller),
    destination =
        Destination(route.upstream, route.serviceClass, site.classes[route.serviceClass] ?: FALLBACK_CLASS),
    upstreamRequest =
        UpstreamRequest(RequestKind.HTTP, request.method, request.path, request.headers.forUpstream(), request.body),
    responseForm = ResponseForm.PASSED_THROUGH,
    idempotent = request.method in route.idempotentMethods,
    timeoutMs = timeoutMs,
)

private fun SiteView.routeChat(
    request: CallerRequest,
    route: Route?,
    caller: Caller?,
    timeoutMs: Long,
): Either<Refusal, RoutedRequest> =
    parseChatRequest(request.body).flatMap { chat ->
        val upstream = site.upstreamOf(chat.model, route)
        val className =
            chat.serviceTier?.takeUnless { it in UNSPECIFIED_TIERS }?.let(::ClassName) ?: route?.serviceClass
        val serviceClass = className?.let { site.classes[it] }
        when {
            upstream == null -> refused(404, "model_not_found", "no upstream serves the model \"${chat.model}\"")
            className == null -> refused(400, "invalid_request_error", "\"service_tier\" is needed")
            serviceClass == null ->
                refused(
                    400,
                    "invalid_request_error",
                    "\"service_tier\" must be one of ${site.classes.keys.joinToString()}",
                )
            else ->
                RoutedRequest(
                    id = request.id,
                    caller = caller,
                    organisationWeight = weightOf(caller),
                    destination = Destination(upstream, className, serviceClass, chat.model, chat.prefixHash()),
                    upstreamRequest =
                        UpstreamRequest(
                            RequestKind.CHAT,
                            "POST",
                            CHAT_PATH,
                            request.headers.forUpstream(),
                            chat.engineBody(serviceClass.tier),
                        ),
                    responseForm = if (chat.stream) ResponseForm.EVENTS else ResponseForm.OBJECT,
                    idempotent = true,
                    timeoutMs = timeoutMs,
                ).right()
        }
    }

private fun SiteView.weightOf(caller: Caller?) = caller?.let { organisations[it.organisation]?.weight } ?: 1

private fun refused(
    status: Int,
    type: String,
    message: String,
) = Refusal(status, type, message).left()
