/*
 * Properties of the upstreams behind the routes, as the configuration states them.
 */
package io.teaselspring.core.routing

import io.teaselspring.core.UpstreamName

/** Properties of the upstream [name]. Without [warmUp] its instances are never cold. */
public data class UpstreamProperties(
    val name: UpstreamName,
    val warmUp: WarmUp? = null,
)

/**
 * A starting instance is cold for [durationMs] and takes [requestsPerSecond] from all entries together meanwhile.
 */
public data class WarmUp(
    val durationMs: Long,
    val requestsPerSecond: Double,
)
