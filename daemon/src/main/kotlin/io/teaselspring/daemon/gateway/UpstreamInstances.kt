/*
 * State of upstream instances as seen by this entry: its own requests, the load that instances report in response
 * headers, and outlier ejection after failures. None of it is shared with other entries or stored.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.limit.InstanceLimit
import io.teaselspring.core.placement.KnownLoad
import io.teaselspring.core.placement.PlacementCandidate
import io.teaselspring.core.placement.PrefixCacheEstimate
import io.teaselspring.core.registry.Availability
import io.teaselspring.core.registry.InstanceRegistry
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.registry.RegistryChange
import io.teaselspring.core.registry.StatedAvailability
import io.teaselspring.core.registry.parsePause
import io.teaselspring.core.routing.allows
import io.teaselspring.daemon.http.HttpConnections
import io.teaselspring.daemon.http.ServerConnections
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** One instance of an upstream as this entry sees it. Times are monotonic milliseconds. */
internal class UpstreamInstance(
    registered: RegisteredInstance,
    val server: ServerConnections,
    val limit: InstanceLimit,
    private val dataCentres: DataCentres = DataCentres(),
    /** What the process has said about the requests that it wants. */
    val stated: StatedAvailability = StatedAvailability(),
) {
    private val rampPhase = dataCentres.nextRampPhase()
    var registered = registered
        private set
    val load = KnownLoad()
    var pendingPrefillTokens = 0L

    /** Tokens that a model engine keeps of running requests and cached parts, once [InstanceMemory] has read it. */
    var memoryTokens: Long? = null
    private var lastActivityMs = 0L
    private var failures = 0
    private var ejectedUntilMs = 0L
    val prefixCache = PrefixCacheEstimate()

    /** Applies a changed registry row of the same process. */
    fun update(
        row: RegisteredInstance,
        nowMs: Long,
    ) {
        if (row.warmUpLeftMs != registered.warmUpLeftMs) row.warmUpLeftMs?.let { limit.cold.recordStated(it, nowMs) }
        registered = row
    }

    fun requestStarted(
        unsharedTokens: Long,
        nowMs: Long,
    ) {
        if (load.ownRequests == 0) lastActivityMs = nowMs
        load.requestStarted(unsharedTokens)
        limit.requestStarted(nowMs)
    }

    fun requestEnded(unsharedTokens: Long) = load.requestEnded(unsharedTokens)

    fun recordActivity(nowMs: Long) {
        lastActivityMs = nowMs
        dataCentres.recordContact(registered.dataCentre, nowMs)
    }

    /** Records the limit's [headers] of a response to a request sent at [sentAtMs]; returns whether it changed. */
    fun recordLimit(
        headers: List<String>,
        sentAtMs: Long,
        nowMs: Long,
    ): Boolean {
        val before = limit.perSecond
        limit.recordResponse(headers, sentAtMs, nowMs)
        if (limit.perSecond == before) return false
        log.info(
            "event=instance_limit_changed instance={} upstream={} requests_per_second={} before={} header=\"{}\"",
            registered.id,
            registered.upstream,
            limit.perSecond,
            before,
            headers.joinToString(),
        )
        return true
    }

    /** Whether a request that was chosen for the instance earlier may still be sent. */
    fun mayStillGet(nowMs: Long): Boolean = stated.at(nowMs) == Availability.OPEN && !isEvacuated

    /** Whether the instance may get one more request by what it and the operators have said. */
    fun admitsRequest(nowMs: Long): Boolean =
        stated.admits(load.ownRequests, registered.slots, nowMs) &&
            dataCentres.admits(registered, load.ownRequests, rampPhase, nowMs)

    /** Whether the data centre of the instance is evacuated. */
    val isEvacuated: Boolean get() = registered.dataCentre in dataCentres.evacuated

    /** The process says in a response that it is leaving: connections that are idle now are of no more use. */
    fun recordLeaving() {
        if (!stated.recordLeaving()) return
        log.info(
            "event=instance_leaving instance={} upstream={} source=response running={}",
            registered.id,
            registered.upstream,
            load.ownRequests,
        )
        server.closeIdle()
    }

    /** Records the `Retry-After` [headers] of a refusal. */
    fun recordPause(
        headers: List<String>,
        nowMs: Long,
    ) {
        if (headers.isEmpty()) return
        val pause = parsePause(headers)
        if (pause != null) stated.recordPause(pause, nowMs)
        log.info(
            "event=instance_paused instance={} upstream={} header=\"{}\" paused_for_ms={}",
            registered.id,
            registered.upstream,
            headers.joinToString(),
            maxOf(0, stated.pausedUntilMs - nowMs),
        )
    }

    fun recordSuccess() {
        failures = 0
        ejectedUntilMs = 0
    }

    /** Ejects the instance for a time that doubles with each consecutive failure. */
    fun recordFailure(
        nowMs: Long,
        reason: String,
    ) {
        failures += 1
        eject(nowMs, reason, minOf(MAX_EJECTION_MS, INITIAL_EJECTION_MS shl minOf(failures - 1, MAX_DOUBLINGS)))
    }

    /**
     * Ejects the instance for the longest time because another process has answered at its address. The registry
     * usually replaces this object before that.
     */
    fun recordMisdirected(nowMs: Long) {
        failures += 1
        eject(nowMs, "another instance answers at this address", MAX_EJECTION_MS)
    }

    private fun eject(
        nowMs: Long,
        reason: String,
        durationMs: Long,
    ) {
        ejectedUntilMs = nowMs + durationMs
        log.info(
            "event=instance_avoided instance={} upstream={} failures={} reason=\"{}\" for_ms={}",
            registered.id,
            registered.upstream,
            failures,
            reason,
            ejectedUntilMs - nowMs,
        )
    }

    /** The instance as a candidate of a request that does not go to data centres in [avoided] if it can. */
    fun candidate(
        nowMs: Long,
        stallMs: Long,
        avoided: Set<DataCentre>,
    ): PlacementCandidate =
        PlacementCandidate(
            registered.id,
            registered.dataCentre,
            registered.slots,
            load.requestsAt(nowMs),
            pendingPrefillTokens,
            isEjected(nowMs, stallMs) || registered.dataCentre in avoided,
            limit.hasPermit(nowMs),
            load.ownRequests,
        )

    /**
     * Whether the instance is ejected or its data centre unreachable, or it has requests of this entry and has sent
     * nothing for [stallMs].
     */
    fun isEjected(
        nowMs: Long,
        stallMs: Long,
    ): Boolean =
        nowMs < ejectedUntilMs ||
            registered.dataCentre in dataCentres.unreachable ||
            (load.ownRequests > 0 && nowMs - lastActivityMs > stallMs)

    private companion object {
        const val INITIAL_EJECTION_MS = 250L
        const val MAX_EJECTION_MS = 4_000L
        const val MAX_DOUBLINGS = 4
    }
}

/** The instances of all upstreams, according to the registry. */
internal class UpstreamInstances(
    private val connections: HttpConnections,
    val nowMs: () -> Long,
    val limits: RequestLimits,
    val dataCentres: DataCentres,
) {
    val registry = InstanceRegistry(onLateRow = ::logLateRow)
    private val byId = LinkedHashMap<InstanceId, UpstreamInstance>()
    private val byUpstream = HashMap<UpstreamName, List<UpstreamInstance>>()
    private val removedById = HashMap<InstanceId, RemovedInstance>()

    /** Called when an instance has stated its work time for the first time, and when instances were added. */
    var onTimedChanged: () -> Unit = {}

    /** Whether the registry has been read at least once. */
    var isLoaded = false

    /** The number of instances of [upstream] that are listed and not draining. */
    fun countOf(upstream: UpstreamName): Int = byUpstream[upstream].orEmpty().size

    /** The instances of [upstream] that may get one more request: not draining, leaving, evacuated or in a pause. */
    fun available(upstream: UpstreamName): List<UpstreamInstance> {
        val now = nowMs()
        return byUpstream[upstream].orEmpty().filter { it.admitsRequest(now) }
    }

    /** As above, in the data centres that [request] may reach. */
    fun available(request: AuthorisedRequest): List<UpstreamInstance> =
        available(request.upstream).filter { request.allowedDataCentres.allows(it.registered.dataCentre) }

    /** The instances that may serve [request] now or later: neither draining nor leaving nor evacuated. */
    fun staying(request: AuthorisedRequest) =
        byUpstream[request.upstream].orEmpty().filter {
            it.stated.at(nowMs()) != Availability.LEAVING &&
                !it.isEvacuated &&
                request.allowedDataCentres.allows(it.registered.dataCentre)
        }

    /** Time until the first instance for [request] ends its pause, or null unless all that stay are in a pause. */
    fun pauseOf(request: AuthorisedRequest): Duration? {
        val now = nowMs()
        val staying = staying(request)
        if (staying.any { it.stated.at(now) == Availability.OPEN }) return null
        return staying.minOfOrNull { it.stated.pausedUntilMs - now }?.milliseconds
    }

    /** Whether an instance of [upstream] has stated how long work takes on its machine. */
    fun isTimed(upstream: UpstreamName): Boolean = byUpstream[upstream].orEmpty().any { it.load.statesWorkTime }

    fun all(): Collection<UpstreamInstance> = byId.values

    fun apply(changes: List<RegistryChange>) {
        if (changes.isEmpty()) return
        changes.forEach { change ->
            val now = change.now
            log.info(
                "event=instance_changed instance={} upstream={} address={} state={}",
                change.id,
                (now ?: change.before)?.upstream,
                (now ?: change.before)?.address,
                stateOf(now),
            )
            val old = byId[change.id]
            if (now != null && old?.isSameProcess(now) == true) {
                old.update(now, nowMs())
                limits.changed()
            } else {
                byId.remove(change.id)?.let {
                    limits.remove(it.registered)
                    removedById[change.id] = RemovedInstance(it, nowMs())
                }
                if (now != null) byId[change.id] = create(now)
            }
            if (old != null && byId.values.none { it.registered.address == old.registered.address }) {
                connections.forget(old.registered.address)
            }
        }
        byUpstream.clear()
        byUpstream += byId.values.filter { !it.registered.isDraining }.groupBy { it.registered.upstream }
        onTimedChanged()
    }

    /** A row that comes back takes back nothing that the same process has said in its responses. */
    private fun create(row: RegisteredInstance): UpstreamInstance {
        val removed = removedById.remove(row.id)?.instance?.takeIf { it.isSameProcess(row) }
        return UpstreamInstance(
            row,
            connections.server(row.address),
            limits.add(row, !isLoaded),
            dataCentres,
            removed?.stated ?: StatedAvailability(),
        )
    }

    fun removeExpired() {
        val now = nowMs()
        removedById.values.removeIf { now - it.atMs >= REMEMBERED_MS }
        apply(registry.expire(now))
    }

    private fun stateOf(now: RegisteredInstance?) =
        when {
            now == null -> "gone"
            now.isDraining -> "draining"
            else -> "ready"
        }

    private fun UpstreamInstance.isSameProcess(now: RegisteredInstance) =
        registered.address == now.address &&
            registered.upstream == now.upstream &&
            registered.startedAtMs == now.startedAtMs

    private class RemovedInstance(
        val instance: UpstreamInstance,
        val atMs: Long,
    )

    private companion object {
        /** Longer than the row of a live instance stays away. */
        const val REMEMBERED_MS = 60_000L
    }
}

private fun logLateRow(
    row: RegisteredInstance,
    known: RegisteredInstance,
) = log.info(
    "event=instance_row_late instance={} upstream={} draining={} started_at_ms={} sequence={} known_draining={} " +
        "known_started_at_ms={} known_sequence={}",
    row.id,
    row.upstream,
    row.isDraining,
    row.startedAtMs,
    row.sequence,
    known.isDraining,
    known.startedAtMs,
    known.sequence,
)
