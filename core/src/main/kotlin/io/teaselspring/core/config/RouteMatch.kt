/*
 * Which route, and for chat completions which upstream, the configuration gives a request to. Entries route by these
 * functions, and the configuration check finds by them what no request can reach.
 */
package io.teaselspring.core.config

import io.teaselspring.core.ModelName
import io.teaselspring.core.UpstreamName

/** Path of chat completions. */
public const val CHAT_PATH: String = "/v1/chat/completions"

/** Path of the list of models; entries answer `GET` requests to it themselves. */
public const val MODELS_PATH: String = "/v1/models"

/** The longest time that a request may take, in milliseconds. It applies where the caller states no shorter one. */
public const val MAX_REQUEST_TIMEOUT_MS: Long = 600_000L

/** Values of `service_tier` for which the route's class applies. */
public val UNSPECIFIED_TIERS: Set<String> = setOf("auto", "default")

/** Returns the route with the longest prefix of [path] that ends at a `/` or at the end of the path. */
public fun SiteConfig.routeOf(path: String): Route? =
    routes.values.filter { path.hasPrefix(it.pathPrefix) }.maxByOrNull { it.pathPrefix.length }

private fun String.hasPrefix(prefix: String): Boolean {
    val path = substringBefore('?')
    return path.startsWith(prefix) &&
        (path.length == prefix.length || prefix.endsWith('/') || path[prefix.length] == '/')
}

/**
 * The upstream of chat requests for [model] on [route]: the one of the route if that serves the model, otherwise the
 * first engine that does; null if none does.
 */
public fun SiteConfig.upstreamOf(
    model: ModelName,
    route: Route?,
): UpstreamName? {
    val serving = upstreams.filterValues { it.kind == UpstreamKind.MODEL_ENGINE && model in it.models }.keys
    return route?.upstream?.takeIf { it in serving } ?: serving.firstOrNull()
}
