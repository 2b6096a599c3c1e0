/*
 * Asks the instances of an upstream how long work takes there, as soon as one of them has stated it. Otherwise an entry
 * would hear from most instances only after it has placed shared parts on them, and each correction of a speed moves
 * some of these parts to another instance, which prefills them again.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.parseLoadReport
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.slf4j.LoggerFactory
import java.util.Collections
import java.util.WeakHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** Reads the status of the instance at an address, "IP:port", from a path; null without a response. */
internal typealias ReadStatus = suspend (address: String, path: String) -> HttpCallResponse?

/**
 * Checks [instances] through [readStatus] at the path that [statusPathOf] returns for their upstream, at most
 * [parallelism] at a time, and once more [recheckAfter] later where the first work time was longer than at most others:
 * it may have been that of a momentary slowdown.
 */
internal class WorkTimeChecks(
    private val instances: UpstreamInstances,
    private val names: HeaderNames,
    private val statusPathOf: (UpstreamName) -> String?,
    private val readStatus: ReadStatus,
    private val recheckAfter: Duration = 1.seconds,
    parallelism: Int = 20,
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val limit = Semaphore(parallelism)
    private val asked = Collections.newSetFromMap(WeakHashMap<UpstreamInstance, Boolean>())

    /** An instance has stated its work time for the first time, or instances were added. */
    fun instancesChanged() {
        wake.trySend(Unit)
    }

    /** Checks instances until cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            wake.receive()
            val due = instances.all().filter { it !in asked && instances.isTimed(it.registered.upstream) }
            if (due.isEmpty()) continue
            asked += due
            check(due)
            delay(recheckAfter)
            check(slowOf(due))
        }
    }

    private suspend fun check(due: List<UpstreamInstance>) =
        coroutineScope {
            due.forEach { launch { limit.withPermit { check(it) } } }
        }

    private suspend fun check(instance: UpstreamInstance) {
        val path = statusPathOf(instance.registered.upstream) ?: return
        val response = readStatus(instance.registered.address, path)
        response?.let { instance.recordOwnCall(it, names) }
        // Another process may answer at the address of an instance that has ended.
        val report =
            response
                ?.takeIf { it.header(names.instanceId) == instance.registered.id.value }
                ?.header(names.load)
                ?.let(::parseLoadReport)
        if (report != null) instance.load.record(report, instances.nowMs())
        log.debug(
            "event=work_time_checked instance={} upstream={} status={} lasting_pct={}",
            instance.registered.id,
            instance.registered.upstream,
            response?.status,
            instance.load.workTime.lastingPct,
        )
    }

    /**
     * The instances of [checked] that are still registered and whose work time is unknown or longer than that of most
     * instances of their upstream. The registry may have replaced any of them since they were checked, or all.
     */
    private fun slowOf(checked: List<UpstreamInstance>): List<UpstreamInstance> {
        val registered = instances.all().toSet()
        val medians =
            registered.groupBy { it.registered.upstream }.mapValues { (_, all) ->
                all.mapNotNull { it.load.workTime.lastingPct }.sorted().middleOrNull()
            }
        return checked.filter { instance ->
            val pct = instance.load.workTime.lastingPct
            val median = medians[instance.registered.upstream]
            instance in registered && (pct == null || median == null || pct > median)
        }
    }

    private fun List<Int>.middleOrNull() = getOrNull(size / 2)
}
