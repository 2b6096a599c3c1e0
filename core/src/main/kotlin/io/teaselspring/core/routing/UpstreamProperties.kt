/*
 * Properties of the upstreams behind the routes, as the configuration states them.
 */
package io.teaselspring.core.routing

import io.teaselspring.core.UpstreamName

/**
 * Properties of the upstream [name]. Without [warmUp] its instances are never cold. A GET of [statusPath] at an
 * instance returns its status; null if unknown. An event of its streams holds [eventTokens]; null if unknown. If it
 * [copiesCachedParts], an instance can fetch cached prompt parts from another one.
 */
public data class UpstreamProperties(
    val name: UpstreamName,
    val warmUp: WarmUp? = null,
    val statusPath: String? = null,
    val eventTokens: Int? = null,
    val copiesCachedParts: Boolean = false,
)

/**
 * A starting instance is cold for [durationMs] and takes [requestsPerSecond] from all entries together meanwhile.
 */
public data class WarmUp(
    val durationMs: Long,
    val requestsPerSecond: Double,
)
