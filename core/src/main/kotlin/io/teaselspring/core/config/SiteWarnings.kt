/*
 * Warnings about a valid configuration of one data centre: what no request can reach, and limits that contradict each
 * other. Whatever a daemon refuses is an error of the schema and does not occur here.
 */
package io.teaselspring.core.config

import io.teaselspring.core.ClassName
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.orders.isOpenAt

private const val HOUR_MS = 3_600_000L

/** Receives a warning: the names that lead to the value in the document, and what to change. */
internal typealias ReportWarning = (names: List<String>, message: String) -> Unit

/** Reports all warnings about this configuration. */
internal fun SiteConfig.reportWarnings(report: ReportWarning) {
    classes.forEach { (name, value) ->
        reportUnused(name, report)
        value.reportContradictions(listOf("classes", name.value), report)
    }
    upstreams.forEach { (name, upstream) ->
        reportUnreachable(name, upstream, report)
        if ((0L..23L).none { upstream.hours.isOpenAt(it * HOUR_MS) }) {
            val hours = "from_hour ${upstream.hours?.fromHour} to to_hour ${upstream.hours?.toHour}"
            report(
                listOf("upstreams", name.value, "hours"),
                "never open: $hours contains no hour of the day; change one",
            )
        }
    }
    routes.forEach { (name, route) -> reportRoute(name, route, report) }
}

private fun SiteConfig.reportUnused(
    name: ClassName,
    report: ReportWarning,
) {
    val hasEngine = upstreams.values.any { it.kind == UpstreamKind.MODEL_ENGINE }
    val isSelectable = hasEngine && name.value !in UNSPECIFIED_TIERS
    if (isSelectable || routes.values.any { it.serviceClass == name }) return
    val reason =
        if (hasEngine) {
            "service_tier \"$name\" stands for the class of the route"
        } else {
            "without a model_engine no request can select it by service_tier"
        }
    report(listOf("classes", name.value), "no route uses this class, and $reason; name it in a route or remove it")
}

private fun ServiceClass.reportContradictions(
    names: List<String>,
    report: ReportWarning,
) {
    val first = "first_token_target_ms" to firstTokenTargetMs
    val between = "between_tokens_target_ms" to betweenTokensTargetMs
    val completion = "completion_target_ms" to completionTargetMs
    listOf(first, between, completion).forEach { (field, targetMs) ->
        if (targetMs != null && targetMs > MAX_REQUEST_TIMEOUT_MS) {
            val reason = "every request ends after $MAX_REQUEST_TIMEOUT_MS ms at the latest"
            report(names + field, "$targetMs is never reached, because $reason; lower it to at most that")
        }
    }
    listOf(first, between).forEach { (field, targetMs) ->
        if (targetMs != null && completionTargetMs != null && completionTargetMs < targetMs) {
            val message = "$completionTargetMs is below $field, which is $targetMs; raise this or lower $field"
            report(names + completion.first, message)
        }
    }
}

private fun SiteConfig.reportUnreachable(
    name: UpstreamName,
    upstream: Upstream,
    report: ReportWarning,
) {
    val names = listOf("upstreams", name.value)
    val chatRoute = routeOf(CHAT_PATH)
    val servedElsewhere = upstream.models.distinct().filter { upstreamOf(it, chatRoute) != name }
    val receivesChat = servedElsewhere.size < upstream.models.distinct().size
    if (!receivesChat && routes.values.none { it.upstream == name }) {
        val models = if (upstream.models.isEmpty()) "" else ", and chat requests for its models go to other upstreams"
        report(names, "gets no requests: no route leads to it$models; add a route or remove the upstream")
        return
    }
    servedElsewhere.forEach { model ->
        val other = upstreamOf(model, chatRoute)
        val change = "remove the model here or let the route of $CHAT_PATH lead to this upstream"
        report(names + "models", "all chat requests for \"$model\" go to upstream $other; $change")
    }
}

private fun SiteConfig.reportRoute(
    name: String,
    route: Route,
    report: ReportWarning,
) {
    val prefix = route.pathPrefix
    val names = listOf("routes", name, "path_prefix")
    val below = routes.entries.firstOrNull { it.value.pathPrefix == "$prefix/" }?.key
    val isChat = prefix == CHAT_PATH
    when {
        prefix.any { it == '?' || it == '#' } ->
            report(names, "matches no request, because a path contains neither ? nor #; remove what follows the path")
        prefix == "$CHAT_PATH/" ->
            report(names, "matches no chat request, because their path is $CHAT_PATH; remove the last /")
        prefix == MODELS_PATH ->
            report(names, "GET $MODELS_PATH never reaches the upstream, entries answer it; choose another prefix")
        isChat && upstreams[route.upstream]?.kind != UpstreamKind.MODEL_ENGINE ->
            report(
                listOf("routes", name, "upstream"),
                "gets no chat requests, because they go to model engines only; name an upstream that is a model_engine",
            )
    }
    // Chat requests have no path below that of the route.
    if (below != null && !isChat) {
        report(names, "matches only the path $prefix itself, because route $below is longer; remove one of the two")
    }
}
