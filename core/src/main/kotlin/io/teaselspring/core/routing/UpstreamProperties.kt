/*
 * Properties of the upstreams behind the routes, as the configuration states them.
 */
package io.teaselspring.core.routing

import io.teaselspring.core.UpstreamName

/** Properties of the upstream [name]. Without [warmUp] its instances are never cold, without [engine] it has none. */
public data class UpstreamProperties(
    val name: UpstreamName,
    val warmUp: WarmUp? = null,
    val engine: EngineProperties? = null,
)

/**
 * A starting instance is cold for [durationMs] and takes [requestsPerSecond] from all entries together meanwhile.
 */
public data class WarmUp(
    val durationMs: Long,
    val requestsPerSecond: Double,
)

/**
 * Properties of a model engine. A prompt or output token takes [tokenBytes] of its memory, which it copies to other
 * engines over a link of [linkMbps]. [canCopy] and [canBackUp] tell whether it copies the memory of prompts and keeps
 * backups of running requests. An event of a stream holds [eventTokens]. Null where the configuration states nothing.
 */
public data class EngineProperties(
    val slots: Int? = null,
    val memoryTokens: Long? = null,
    val tokenBytes: Long? = null,
    val linkMbps: Double? = null,
    val eventTokens: Int? = null,
    val canCopy: Boolean = false,
    val canBackUp: Boolean = false,
)
