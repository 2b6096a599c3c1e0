/*
 * Routing table of an entry that passes requests to upstreams without an agent: routes by host and path prefix, the
 * weighted upstreams behind them, the organisations with their API keys, and the limits on callers. A version is
 * immutable; versions only rise.
 */
package io.teaselspring.core.routing

import io.teaselspring.core.OrganisationId
import io.teaselspring.core.Region
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.mixedHash

/**
 * Whether requests on a route may be repeated, and how their responses arrive. The protocol's `RequestKind` says how an
 * agent runs a request.
 */
public enum class RouteKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once. */
    NON_IDEMPOTENT,

    /** An event stream; runs at most once unless its route is resumable. */
    STREAM,
}

/** One of the upstreams of a route; the shares of a route are relative to the sum of its weights. */
public data class WeightedUpstream(
    val upstream: UpstreamName,
    val weight: Int,
)

/**
 * A route of an entry without agents; `core.config.Route` is the one of an entry with agents. [prefix] begins and ends
 * with a slash. [timeoutMs] bounds the whole request, [targetLatencyMs] the time to the response or to the first event,
 * [maxEventGapMs] the gap between two events of a stream. [priority] 0 is the most urgent. [maxAttempts] bounds the
 * instances that one request is offered to. Requests reach only instances in [allowedRegions], unless that is null.
 */
public data class RequestRoute(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: RouteKind,
    val upstreams: List<WeightedUpstream>,
    val timeoutMs: Long,
    val targetLatencyMs: Long,
    val maxEventGapMs: Long?,
    val priority: Int,
    val maxAttempts: Int,
    val isPublic: Boolean,
    val isResumable: Boolean,
    val allowedRegions: Set<Region>? = null,
) {
    /** Whether a request may run a second time after its first run had an unknown outcome. */
    val isRepeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable)
}

/**
 * A calling organisation with its API keys. Unless null, [priority] overrides the one of the route, and its requests
 * reach only instances in [allowedRegions].
 */
public data class CallerOrganisation(
    val id: OrganisationId,
    val keys: Set<String>,
    val priority: Int?,
    val allowedRegions: Set<Region>? = null,
)

/** Limits on callers. */
public data class CallerLimits(
    val headerBytes: Int = 16 * 1024,
    val bodyBytes: Int = 4 * 1024 * 1024,
    val headerTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000,
)

/** The routing decision on a request, by the configuration alone. */
public sealed interface RoutingDecision {
    /** No route matches. */
    public data object NoRoute : RoutingDecision

    /** The route requires a key, and no organisation has the one in the request. */
    public data object UnknownKey : RoutingDecision

    /** The request may go to an upstream of [route]; [organisation] is null on a public route without a known key. */
    public data class Allowed(
        val route: RequestRoute,
        val organisation: CallerOrganisation?,
    ) : RoutingDecision {
        /** Priority of the request; 0 is the most urgent. */
        val priority: Int get() = organisation?.priority ?: route.priority

        /** The regions that both the route and the organisation allow; null if neither restricts them. */
        val allowedRegions: Set<Region>? get() = intersectionOf(route.allowedRegions, organisation?.allowedRegions)

        /** The decision without [organisation], whose key may have been withdrawn; what restricts it still holds. */
        public fun withoutOrganisation(): Allowed =
            Allowed(route.copy(allowedRegions = allowedRegions), organisation = null)
    }
}

/**
 * One version of the routing table with its indexes. If [organisations] is null, no request needs a key; if it is
 * empty, every request does whose route is not public, and none has one that is known.
 */
public class RoutingConfig(
    public val version: Long,
    public val routes: List<RequestRoute>,
    public val organisations: List<CallerOrganisation>?,
    public val limits: CallerLimits = CallerLimits(),
    upstreams: List<UpstreamProperties> = emptyList(),
) : OperatorRow {
    private val longestTargetsMs = HashMap<UpstreamName, Long>()
    private val longestResumableMs = HashMap<UpstreamName, Long>()
    private val propertiesByUpstream = upstreams.associateBy { it.name }

    private val routesByHost =
        routes.groupBy { it.host }.mapValues { (_, all) ->
            all.sortedByDescending { it.prefix.length }
        }
    private val organisationsByKey =
        buildMap { organisations.orEmpty().forEach { one -> one.keys.forEach { put(it, one) } } }

    /** Whether requests on routes that are not public need a key. */
    public val requiresKeys: Boolean get() = organisations != null

    /** The properties of [upstream], null if the configuration states none. */
    public fun propertiesOf(upstream: UpstreamName): UpstreamProperties? = propertiesByUpstream[upstream]

    /** The organisation with [key], null if none has it. */
    public fun organisation(key: String?): CallerOrganisation? = key?.let { organisationsByKey[it] }

    /** The route with the longest prefix of [path] among those of [host]. */
    public fun route(
        host: String,
        path: String,
    ): RequestRoute? = routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }

    /** Decides on a request to [path] at [host] with [key]. */
    public fun decide(
        host: String,
        path: String,
        key: String?,
    ): RoutingDecision {
        val route = route(host, path) ?: return RoutingDecision.NoRoute
        val organisation = organisation(key)
        if (requiresKeys && !route.isPublic && organisation == null) return RoutingDecision.UnknownKey
        return RoutingDecision.Allowed(route, organisation)
    }

    /** The longest latency target of the routes that lead to [upstream], 0 without any. */
    public fun longestTargetMsOf(upstream: UpstreamName): Long =
        longestTargetsMs.getOrPut(upstream) {
            routes
                .filter { route -> route.upstreams.any { it.upstream == upstream } }
                .maxOfOrNull { it.targetLatencyMs } ?: 0
        }

    /** The longest timeout of the resumable routes that lead to [upstream], 0 without any. */
    public fun longestResumableMsOf(upstream: UpstreamName): Long =
        longestResumableMs.getOrPut(upstream) {
            routes
                .filter { route -> route.isResumable && route.upstreams.any { it.upstream == upstream } }
                .maxOfOrNull { it.timeoutMs } ?: 0
        }

    /** The event gap limits of the routes that lead to [upstream]; routes without a limit are left out. */
    public fun eventGapsOf(upstream: UpstreamName): List<Long> =
        routes.filter { route -> route.upstreams.any { it.upstream == upstream } }.mapNotNull { it.maxEventGapMs }
}

/** Picks one of [upstreams] by weight; [random] returns a uniformly distributed integer below its argument. */
public fun pickUpstream(
    upstreams: List<WeightedUpstream>,
    random: (Int) -> Int,
): UpstreamName? {
    val total = upstreams.sumOf { it.weight }
    if (total <= 0) return upstreams.firstOrNull()?.upstream
    var remaining = random(total)
    return upstreams.first { one -> (remaining < one.weight).also { remaining -= one.weight } }.upstream
}

/**
 * Picks one of [upstreams] by weight for the stream [streamId], by a hash: any entry picks the same one when a caller
 * resumes the stream. With two upstreams, a change of the weights moves only as many streams as shares have changed.
 */
public fun pickUpstreamOf(
    streamId: String,
    upstreams: List<WeightedUpstream>,
): UpstreamName? =
    pickUpstream(upstreams) { total -> ((mixedHash(streamId) ushr HASH_SHIFT) * total ushr HASH_BITS).toInt() }

private const val HASH_BITS = 31
private const val HASH_SHIFT = Long.SIZE_BITS - HASH_BITS
