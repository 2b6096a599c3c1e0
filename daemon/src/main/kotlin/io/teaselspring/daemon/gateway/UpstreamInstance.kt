/*
 * One upstream instance as this entry sees it: the entry's requests there, the load that the instance reports in its
 * responses, and outlier ejection after failures. None of it is shared with other entries or stored.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.DataCentre
import io.teaselspring.core.limit.InstanceLimit
import io.teaselspring.core.placement.KnownLoad
import io.teaselspring.core.placement.PlacementCandidate
import io.teaselspring.core.placement.PrefixCacheEstimate
import io.teaselspring.core.registry.Availability
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.registry.StatedAvailability
import io.teaselspring.core.registry.parsePause
import io.teaselspring.daemon.http.ServerConnections
import org.slf4j.LoggerFactory

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

    /** Another process has answered at the address, and its row has not been read yet. */
    var isReplaced = false
        private set

    /** Whether the process may state its start when it is asked. */
    var mayStateProcess = true
        private set

    /** The software version, null while that of the process which answers is unknown. */
    val version: String? get() = registered.version.takeUnless { isReplaced }

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

    /** Records that a process which started at [startedAtMs], Unix milliseconds, answers in place of the listed one. */
    fun recordReplaced(startedAtMs: Long) {
        if (isReplaced) return
        isReplaced = true
        log.info(
            "event=instance_replaced instance={} upstream={} address={} started_at_ms={} known_started_at_ms={}",
            registered.id,
            registered.upstream,
            registered.address,
            startedAtMs,
            registered.startedAtMs,
        )
    }

    /** The process does not state its start: asking it again is of no use. */
    fun recordProcessUnstated() {
        mayStateProcess = false
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

    /**
     * The instance as a candidate of a request that does not go to data centres in [avoided] if it can.
     * [isVersionRecorded] tells whether a resumable stream may begin there.
     */
    fun candidate(
        nowMs: Long,
        stallMs: Long,
        avoided: Set<DataCentre>,
        isVersionRecorded: Boolean = true,
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
            version,
            isVersionRecorded,
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
