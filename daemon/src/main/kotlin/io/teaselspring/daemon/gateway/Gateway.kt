/*
 * An agentless entry, which sends requests to upstream instances itself: its settings and shared state. Everything runs
 * on one event loop.
 */
package io.teaselspring.daemon.gateway

import io.netty.channel.EventLoop
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.Region
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.capacity.GroupDemand
import io.teaselspring.core.placement.LatencyGroup
import io.teaselspring.core.placement.LeavingPolicy
import io.teaselspring.core.retry.RetryBudget
import io.teaselspring.daemon.http.ExpectedProcess
import io.teaselspring.daemon.http.ProcessQuery

/**
 * Settings of an entry. Requests with a key are served while the configuration is known to be younger than
 * [keyFreshnessMs], so that a withdrawn key stops working in time. "unknown key" and "no route" are responded only
 * while it is younger than [certainMs], and the entry is ready only while it is younger than [readyMs]. The retry
 * budget of an entry is [retrySharePct] percent of its successful requests in a window of [retryWindowMs], and at least
 * its share of [retryMinimum], which applies to all entries together. [assumedEntries] is the number of entries until
 * the real number is known. [regions] are those of the data centres, as far as known. [leaving] says what it costs to
 * send requests to another data centre. With [adaptiveGroups] the sizes of the latency groups follow the demand on each
 * upstream, else only on those that are timed. With [fairShares] organisations get equal shares of all upstreams, as
 * they do of timed ones, and requests with a prompt that cannot end in time are refused.
 */
data class GatewaySettings(
    val instance: InstanceId,
    val dataCentre: DataCentre,
    val headers: HeaderNames,
    val keyFreshnessMs: Long = 4_700,
    val certainMs: Long = 1_500,
    val readyMs: Long = 3_000,
    val retrySharePct: Int = 10,
    val retryMinimum: Int = 25,
    val retryWindowMs: Long = 10_000,
    val assumedEntries: Int = 10,
    val leaving: LeavingPolicy = LeavingPolicy(),
    val regions: Map<DataCentre, Region> = emptyMap(),
    val adaptiveGroups: Boolean = false,
    val fairShares: Boolean = false,
)

/** What an entry asks instances itself: [readMemory] starts to read the memory, [process] asks for the process. */
internal class InstanceQueries(
    val readMemory: (UpstreamInstance) -> Unit,
    val process: ProcessQuery?,
)

/** Shared state of one entry. */
internal class Gateway(
    val settings: GatewaySettings,
    runtime: GatewayRuntime,
    val config: ConfigState,
    val instances: UpstreamInstances,
    val recordRequest: (OrganisationId) -> Unit,
    private val storeDemand: (UpstreamName, LatencyGroup, GroupDemand) -> Unit,
    val entryCount: () -> Int,
    val randomBelow: (Int) -> Int,
    private val queries: InstanceQueries,
    val quarantine: RequestQuarantine,
    val streams: ResumableStreams,
) {
    val loop: EventLoop = runtime.loop
    val nowMs: () -> Long = runtime.nowMs
    val metrics: GatewayMetrics = runtime.metrics
    val memory: ByteBudget = runtime.memory
    val limits: RequestLimits get() = instances.limits
    val leaving = LeavingCosts(settings.dataCentre, entryCount, instances::isTimed, settings.leaving)
    val shares = GroupShareState { settings.adaptiveGroups || instances.isTimed(it) }
    val fairness = FairQueueing(settings.fairShares, instances::isTimed)
    val queues =
        StreamQueues(
            settings.instance,
            loop,
            nowMs,
            instances,
            entryCount,
            queries.readMemory,
            shares::of,
            fairness,
            longestTargetMs = { config.current?.longestTargetMsOf(it) ?: 0 },
            isVersionRecorded = { streams.versions.isRecorded(it.registered.upstream, it.version) },
        )
    val permits = PermitQueue(loop, nowMs)
    private val budgets = HashMap<UpstreamName, RetryBudget>()

    /** The graceful drain, once it has begun; responses then carry `Connection: close`. */
    var drain: GracefulDrain? = null

    val isDraining: Boolean get() = drain != null

    /** Whether the load balancer should send callers to this entry. */
    val isReady: Boolean
        get() =
            !isDraining &&
                instances.isLoaded &&
                streams.isLoaded &&
                config.ageMs().let { it != null && it < settings.readyMs }

    /** Records the [demand] of [request], unless the upstream has only one latency group or is not adaptive. */
    fun recordDemand(
        request: AuthorisedRequest,
        demand: GroupDemand,
    ) {
        val isShared = request.group.count > 1 && shares.isAdaptive(request.upstream)
        if (isShared) storeDemand(request.upstream, request.group, demand)
    }

    /** Records that [events] of a response to [request] have arrived. */
    fun recordEvents(
        request: AuthorisedRequest,
        events: Long,
    ) {
        val eventTokens = config.current?.propertiesOf(request.upstream)?.eventTokens ?: USUAL_EVENT_TOKENS
        recordDemand(request, GroupDemand(outputTokens = events * eventTokens))
    }

    /** The process of [instance], if it can be told from others. */
    fun expectedProcess(instance: UpstreamInstance): ExpectedProcess? {
        val query = queries.process?.takeIf { instance.mayStateProcess } ?: return null
        return instance.registered.startedAtMs?.let { ExpectedProcess(it, query) }
    }

    fun retryBudget(upstream: UpstreamName): RetryBudget =
        budgets.getOrPut(upstream) {
            RetryBudget(settings.retrySharePct, { settings.retryMinimum / entryCount() }, settings.retryWindowMs)
        }
}

/** Tokens of an event of an upstream whose configuration does not state them. */
private const val USUAL_EVENT_TOKENS = 4
