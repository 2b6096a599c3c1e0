/*
 * Puts an entry without agents together: listeners, followers of the store, usage, the planned stop, its pages.
 */
package io.teaselspring.daemon.gateway

import io.netty.handler.codec.http.HttpResponseStatus
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.teaselspring.core.InstanceId
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.routing.CallerLimits
import io.teaselspring.core.routing.RoutingConfig
import io.teaselspring.daemon.lease.LeaseKeeper
import io.teaselspring.daemon.usage.USAGE_LEASE
import io.teaselspring.daemon.usage.UsageReporter
import io.teaselspring.daemon.usage.UsageTable
import io.teaselspring.ports.UsageIntake
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.slf4j.LoggerFactory
import java.io.ByteArrayOutputStream
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** The parts of one entry, on one event loop. */
internal class GatewayServer(
    private val runtime: GatewayRuntime,
    settings: GatewaySettings,
    private val platform: GatewayPlatform,
    private val times: GatewayTimes,
    private val scope: CoroutineScope,
) {
    private val own = newIncarnation(settings.instance)
    private val sharedClock = SharedClock(platform.table, { platform.storeClock.nowMs(runtime.clock()) })
    private val entryCount = EntryCount(platform.table, settings.assumedEntries)
    private val usageTable = UsageTable(platform.table)
    private val usage = DirectUsage(own, usageTable, sharedClock, times.usageWindow.inWholeMilliseconds)
    private val usageLease =
        LeaseKeeper(
            USAGE_LEASE,
            own,
            platform.table,
            Clock.System,
            TimeSource.Monotonic,
            times.leaseTimes,
            storeNowMs = { platform.storeClock.certainNowMs(runtime.clock()) },
        )
    private val gateway =
        Gateway(
            settings,
            runtime.loop,
            runtime.nowMs,
            ConfigState(runtime.loop, runtime.clock),
            UpstreamInstances(runtime.connections, runtime.nowMs),
            runtime.metrics,
            usage::began,
            entryCount::value,
            Random.Default::nextInt,
        )
    private val callers =
        CallerConnections(
            CallerConnectionParts(
                runtime.loop,
                runtime.nowMs,
                limits = { gateway.config.current?.limits ?: CallerLimits() },
                isDraining = { gateway.isDraining },
                run = { request, writer -> RequestExecution(gateway, request, writer).also { it.start() } },
            ),
        )

    fun listen(addresses: GatewayAddresses) {
        callers.listen(addresses.callers)
        val ready = {
            val isReady = gateway.isReady
            Page(
                if (isReady) "ready" else "not ready",
                if (isReady) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE,
            )
        }
        servePages(runtime.loop, addresses.ready, mapOf(addresses.readyPath to ready))
        addresses.operators?.let {
            servePages(runtime.loop, it, mapOf("/metrics" to ::metrics, "/state" to ::state))
        }
    }

    fun follow() {
        val config = configFollower()
        gateway.config.onStale = { config.readNow(scope) }
        scope.launch { config.run() }
        scope.launch { registryFollower().run() }
        scope.launch { housekeeping() }
        if (platform.usage != null) scope.launch { reportUsage(platform.usage) }
    }

    private suspend fun reportUsage(intake: UsageIntake) {
        sharedClock.establish()
        val reporter =
            UsageReporter(
                own,
                usageTable,
                intake,
                sharedClock,
                usageLease::epochToSend,
                times.usageWindow.inWholeMilliseconds,
                times.usageGrace,
                times.leaseTimes.orderDeadlineMs.milliseconds,
                UsageSettling(
                    usageTable,
                    sharedClock,
                    times.usageWindow.inWholeMilliseconds,
                    times.usagePatience,
                    entryCount::counted,
                )::isSettled,
            )
        scope.launch { entryCount.run() }
        scope.launch { usage.run(entryCount::value) }
        scope.launch { usageLease.run() }
        scope.launch { reporter.run(times.usageInterval) }
    }

    private suspend fun housekeeping(): Nothing {
        while (true) {
            delay(HOUSEKEEPING)
            callers.sweep()
            runtime.connections.sweep()
            gateway.instances.expire()
        }
    }

    private fun configFollower() =
        TableFollower(
            "config",
            platform.config,
            FollowTimes(wait = times.configWait, interval = Duration.ZERO),
            runtime.clock,
            object : TableListener<RoutingConfig> {
                override fun content(
                    content: Map<String, RoutingConfig?>,
                    askedAt: ClockReading,
                    afterOutage: Boolean,
                ) = newest(content, askedAt)

                override fun changes(
                    changes: Map<String, RoutingConfig?>,
                    askedAt: ClockReading,
                ) = newest(changes, askedAt)
            },
        )

    private fun newest(
        rows: Map<String, RoutingConfig?>,
        askedAt: ClockReading,
    ) {
        gateway.config.confirmed(askedAt, rows.values.filterNotNull().maxByOrNull { it.version })
    }

    private fun registryFollower(): TableFollower<RegisteredInstance> {
        val instances = gateway.instances
        val listener =
            object : TableListener<RegisteredInstance> {
                override fun content(
                    content: Map<String, RegisteredInstance?>,
                    askedAt: ClockReading,
                    afterOutage: Boolean,
                ) {
                    val byId = content.mapKeys { InstanceId(it.key) }
                    instances.apply(instances.registry.replace(byId, afterOutage, runtime.nowMs()))
                    instances.isKnown = true
                }

                override fun changes(
                    changes: Map<String, RegisteredInstance?>,
                    askedAt: ClockReading,
                ) {
                    instances.apply(changes.mapNotNull { (id, row) -> instances.registry.update(InstanceId(id), row) })
                }
            }
        val follow = FollowTimes(wait = REGISTRY_WAIT, interval = times.registryInterval)
        return TableFollower("instances", platform.instances, follow, runtime.clock, listener)
    }

    /** Stops taking part, and returns when no request is under way or the limit of the stop is near. */
    suspend fun drain() {
        log.info("event=drain_started running={}", callers.running)
        val startedMs = runtime.nowMs()
        val stop = PlannedStop(startedMs, times.stopLimit)
        gateway.stop = stop
        val resigned = scope.launch { usageLease.resign() }
        while (!stop.isOver(runtime.nowMs(), callers.running)) delay(DRAIN_STEP)
        stop.close()
        callers.stopListening()
        if (platform.usage != null) finishUsage(stop)
        resigned.cancel()
        log.info("event=drain_ended running={} after_ms={}", callers.running, runtime.nowMs() - startedMs)
    }

    /** Without the store, the last counts are kept for as long as the stop may take: they are lost with the process. */
    private suspend fun finishUsage(stop: PlannedStop) {
        withTimeoutOrNull(maxOf(stop.left(runtime.nowMs()), LAST_FLUSH)) {
            while (!usage.finish()) delay(FLUSH_RETRY)
        } ?: log.warn("event=usage_lost reason=\"the store is away\"")
    }

    private fun metrics(): Page {
        val text = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(text, gateway.metrics.registry.scrape())
        return Page(text.toString(Charsets.UTF_8))
    }

    private fun state(): Page {
        val config = gateway.config.current
        val dump =
            buildJsonObject {
                put("incarnation", own.value)
                put("ready", gateway.isReady)
                put("draining", gateway.isDraining)
                put("config_version", config?.version)
                put("config_age_ms", gateway.config.ageMs())
                put("usage_lease_held", usageLease.epochToSend() != null)
                put("calls_running", callers.running)
                put("calls_queued", gateway.queues.size)
                put("entries", gateway.entries())
                putJsonArray("instances") {
                    gateway.instances.all().forEach { one ->
                        add(
                            buildJsonObject {
                                put("instance", one.registered.id.value)
                                put("upstream", one.registered.upstream.value)
                                put("address", one.registered.address)
                                put("draining", one.registered.isDraining)
                                put("own_calls", one.ownRequests)
                                put("pending_prefill_tokens", one.pendingPrefillTokens)
                            },
                        )
                    }
                }
            }
        return Page(dump.toString())
    }

    private companion object {
        val HOUSEKEEPING = 500.milliseconds
        val REGISTRY_WAIT = 2.seconds
        val DRAIN_STEP = 50.milliseconds
        val LAST_FLUSH = 500.milliseconds
        val FLUSH_RETRY = 250.milliseconds
    }
}
