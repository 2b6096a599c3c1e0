/*
 * What this entry knows of each upstream instance while it sends requests there: its own work, the load that the
 * instance reports on its responses, and how the last requests went. Nothing of it is shared or stored.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.PlacementCandidate
import io.teaselspring.core.placement.PrefixCacheEstimate
import io.teaselspring.core.registry.InstanceRegistry
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.registry.RegistryChange
import io.teaselspring.daemon.http.HttpConnections
import io.teaselspring.daemon.http.ServerConnections
import org.slf4j.LoggerFactory
import kotlin.math.exp

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** Load that an instance told: requests running and waiting, and its slots. */
internal data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
)

/** One instance of an upstream as this entry sees it. Times are monotonic milliseconds. */
internal class UpstreamInstance(
    registered: RegisteredInstance,
    val server: ServerConnections,
) {
    var registered = registered
        private set
    var ownRequests = 0
        private set
    var pendingPrefillTokens = 0L
    private var othersLoad = 0.0
    private var reportedAtMs = 0L
    private var lastActivityMs = 0L
    private var failures = 0
    private var ejectedUntilMs = 0L
    val prefixCache = PrefixCacheEstimate()

    /** Takes over a changed row of the same run. */
    fun update(row: RegisteredInstance) {
        registered = row
    }

    fun began(nowMs: Long) {
        if (ownRequests == 0) lastActivityMs = nowMs
        ownRequests += 1
    }

    fun ended() {
        ownRequests -= 1
    }

    fun recordActivity(nowMs: Long) {
        lastActivityMs = nowMs
    }

    fun reported(
        load: ReportedLoad,
        nowMs: Long,
    ) {
        othersLoad = maxOf(0, load.running + load.waiting - ownRequests).toDouble()
        reportedAtMs = nowMs
    }

    fun succeeded() {
        failures = 0
        ejectedUntilMs = 0
    }

    /** Keeps new requests away for a time that doubles with each failure in a row. */
    fun failed(
        nowMs: Long,
        reason: String,
    ) {
        failures += 1
        ejectedUntilMs = nowMs + minOf(MAX_EJECTION_MS, INITIAL_EJECTION_MS shl minOf(failures - 1, MAX_DOUBLINGS))
        log.info(
            "event=instance_avoided instance={} upstream={} failures={} reason=\"{}\" for_ms={}",
            registered.id,
            registered.upstream,
            failures,
            reason,
            ejectedUntilMs - nowMs,
        )
    }

    fun candidate(
        nowMs: Long,
        silenceMs: Long,
    ): PlacementCandidate {
        // Reports of others' work lose their meaning within a few seconds.
        val others = othersLoad * exp((reportedAtMs - nowMs) / REPORT_LIFE_MS)
        val isSilent = ownRequests > 0 && nowMs - lastActivityMs > silenceMs
        return PlacementCandidate(
            registered.id,
            registered.dataCentre,
            registered.slots,
            ownRequests + others,
            pendingPrefillTokens,
            isSilent || nowMs < ejectedUntilMs,
        )
    }

    private companion object {
        const val INITIAL_EJECTION_MS = 250L
        const val MAX_EJECTION_MS = 4_000L
        const val MAX_DOUBLINGS = 4
        const val REPORT_LIFE_MS = 2_000.0
    }
}

/** The instances of all upstreams, as the registry shows them. */
internal class UpstreamInstances(
    private val connections: HttpConnections,
    private val nowMs: () -> Long,
) {
    val registry = InstanceRegistry()
    private val states = LinkedHashMap<InstanceId, UpstreamInstance>()
    private val byUpstream = HashMap<UpstreamName, List<UpstreamInstance>>()

    /** Whether the registry has been read. */
    var isKnown = false

    fun of(upstream: UpstreamName): List<UpstreamInstance> = byUpstream[upstream].orEmpty()

    fun all(): Collection<UpstreamInstance> = states.values

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
            val old = states[change.id]
            if (now == null) {
                states.remove(change.id)
            } else if (old == null || !old.isSameRun(now)) {
                states[change.id] = UpstreamInstance(now, connections.server(now.address))
            } else {
                old.update(now)
            }
            if (old != null && states.values.none { it.registered.address == old.registered.address }) {
                connections.forget(old.registered.address)
            }
        }
        byUpstream.clear()
        byUpstream += states.values.filter { !it.registered.isDraining }.groupBy { it.registered.upstream }
    }

    fun expire() = apply(registry.expire(nowMs()))

    private fun stateOf(now: RegisteredInstance?) =
        when {
            now == null -> "gone"
            now.isDraining -> "draining"
            else -> "ready"
        }

    private fun UpstreamInstance.isSameRun(now: RegisteredInstance) =
        registered.address == now.address &&
            registered.upstream == now.upstream &&
            registered.startedAtMs == now.startedAtMs
}
