/*
 * What this entry knows of each upstream instance while it sends calls there: its own work, the load that the
 * instance reports on its answers, and how the last calls went. Nothing of it is shared or stored.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.EngineMemory
import io.teaselspring.core.placement.PlacementCandidate
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

/** One instance. Times are monotonic milliseconds. */
internal class InstanceState(
    registered: RegisteredInstance,
    val server: ServerConnections,
) {
    var registered = registered
        private set
    var ownCalls = 0
        private set
    var pendingPrefillTokens = 0L
    private var othersWork = 0.0
    private var reportedAtMs = 0L
    private var heardAtMs = 0L
    private var failures = 0
    private var avoidUntilMs = 0L
    val memory = EngineMemory()

    /** Takes over a changed row of the same run. */
    fun update(row: RegisteredInstance) {
        registered = row
    }

    fun began(nowMs: Long) {
        if (ownCalls == 0) heardAtMs = nowMs
        ownCalls += 1
    }

    fun ended() {
        ownCalls -= 1
    }

    fun heard(nowMs: Long) {
        heardAtMs = nowMs
    }

    fun reported(
        load: ReportedLoad,
        nowMs: Long,
    ) {
        othersWork = maxOf(0, load.running + load.waiting - ownCalls).toDouble()
        reportedAtMs = nowMs
    }

    fun succeeded() {
        failures = 0
        avoidUntilMs = 0
    }

    /** Keeps new calls away for a time that doubles with each failure in a row. */
    fun failed(
        nowMs: Long,
        reason: String,
    ) {
        failures += 1
        avoidUntilMs = nowMs + minOf(MAX_AVOID_MS, FIRST_AVOID_MS shl minOf(failures - 1, MAX_DOUBLINGS))
        log.info(
            "event=instance_avoided instance={} upstream={} failures={} reason=\"{}\" for_ms={}",
            registered.id,
            registered.upstream,
            failures,
            reason,
            avoidUntilMs - nowMs,
        )
    }

    fun candidate(
        nowMs: Long,
        silenceMs: Long,
    ): PlacementCandidate {
        // Reports of others' work lose their meaning within a few seconds.
        val others = othersWork * exp((reportedAtMs - nowMs) / REPORT_LIFE_MS)
        val isSilent = ownCalls > 0 && nowMs - heardAtMs > silenceMs
        return PlacementCandidate(
            registered.id,
            registered.dataCentre,
            registered.slots,
            ownCalls + others,
            pendingPrefillTokens,
            isSilent || nowMs < avoidUntilMs,
        )
    }

    private companion object {
        const val FIRST_AVOID_MS = 250L
        const val MAX_AVOID_MS = 4_000L
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
    private val states = LinkedHashMap<InstanceId, InstanceState>()
    private val byUpstream = HashMap<UpstreamName, List<InstanceState>>()

    /** Whether the registry has been read. */
    var isKnown = false

    fun of(upstream: UpstreamName): List<InstanceState> = byUpstream[upstream].orEmpty()

    fun all(): Collection<InstanceState> = states.values

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
                states[change.id] = InstanceState(now, connections.server(now.address))
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

    private fun InstanceState.isSameRun(now: RegisteredInstance) =
        registered.address == now.address &&
            registered.upstream == now.upstream &&
            registered.startedAtMs == now.startedAtMs
}
