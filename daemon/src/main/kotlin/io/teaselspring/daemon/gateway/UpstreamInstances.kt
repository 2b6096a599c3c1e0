/*
 * The upstream instances that the registry lists, by id and by upstream.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.registry.Availability
import io.teaselspring.core.registry.InstanceRegistry
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.registry.RegistryChange
import io.teaselspring.core.registry.StatedAvailability
import io.teaselspring.daemon.http.HttpConnections
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** The instances of all upstreams, according to the registry, which deletes rows that are [rowTimeout] old. */
internal class UpstreamInstances(
    private val connections: HttpConnections,
    val nowMs: () -> Long,
    val limits: RequestLimits,
    val dataCentres: DataCentres,
    rowTimeout: Duration,
) {
    val registry = InstanceRegistry(rowTimeoutMs = rowTimeout.inWholeMilliseconds, onLateRow = ::logLateRow)
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

    /** As above, of those that [request] may be sent to. */
    fun available(request: AuthorisedRequest): List<UpstreamInstance> =
        available(request.upstream).filter(request::mayReach)

    /** The instances that may serve [request] now or later: neither draining nor leaving nor evacuated. */
    fun staying(request: AuthorisedRequest) =
        byUpstream[request.upstream].orEmpty().filter {
            it.stated.at(nowMs()) != Availability.LEAVING &&
                !it.isEvacuated &&
                request.mayReach(it)
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

    /** The software versions of the listed instances of each upstream, also of those that drain. */
    fun servingVersions(): Map<UpstreamName, Set<String>> =
        byId.values.groupBy({ it.registered.upstream }, { it.registered.version }).mapValues { it.value.toSet() }

    /** Whether the registry still lists the process of [instance]. */
    fun isCurrent(instance: UpstreamInstance): Boolean = byId[instance.registered.id] === instance

    fun apply(changes: List<RegistryChange>) {
        if (changes.isEmpty()) return
        changes.forEach { change ->
            val now = change.now
            log.info(
                "event=instance_changed instance={} upstream={} address={} version={} state={}",
                change.id,
                (now ?: change.before)?.upstream,
                (now ?: change.before)?.address,
                (now ?: change.before)?.version,
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
