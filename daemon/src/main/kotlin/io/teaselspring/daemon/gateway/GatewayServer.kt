/*
 * Assembles an agentless entry: listeners, the watches on the store's tables, usage, the graceful drain, and the
 * readiness, metrics and state pages.
 */
package io.teaselspring.daemon.gateway

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.teaselspring.core.routing.CallerLimits
import io.teaselspring.daemon.http.checkReachable
import io.teaselspring.daemon.launchRestarting
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.slf4j.LoggerFactory
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** The components of one entry; all run on one event loop. */
internal class GatewayServer(
    private val runtime: GatewayRuntime,
    settings: GatewaySettings,
    private val platform: GatewayPlatform,
    private val times: GatewayTimes,
    private val scope: CoroutineScope,
) {
    private val incarnation = newIncarnation(settings.instance)
    private val usage = GatewayUsage(incarnation, runtime.clock, platform, times, settings.assumedEntries)
    private val config = ConfigState(runtime.loop, runtime.clock)
    private val limits =
        RequestLimits(
            settings.instance,
            platform.table,
            usage::entryCount,
            runtime.nowMs,
            StoreTimes(
                estimatedMs = { platform.storeClock.nowMs(runtime.clock()) },
                certainMs = { platform.storeClock.certainNowMs(runtime.clock()) },
            ),
            warmUpOf = { config.current?.propertiesOf(it)?.warmUp },
        )
    private val streams = resumableStreams()
    private val gateway =
        Gateway(
            settings,
            runtime,
            config,
            UpstreamInstances(
                runtime.connections,
                runtime.nowMs,
                limits,
                DataCentres(usage::entryCount),
                times.instanceRowTimeout,
            ),
            usage::recordRequest,
            usage::recordDemand,
            usage::entryCount,
            Random.Default::nextInt,
            InstanceQueries(
                InstanceMemory(scope, runtime.nowMs, platform.readMemory) { recordOwnCall(it, settings.headers) }::read,
                platform.processQuery,
            ),
            RequestQuarantine(
                settings.instance,
                platform.table,
                isShared = platform.sharedRows != null,
                runtime.metrics,
                storeNowMs = { platform.storeClock.nowMs(runtime.clock()) },
                CrashDetector(runtime.nowMs, runtime.connections::probe),
            ),
            streams,
        )
    private val workTimeChecks =
        WorkTimeChecks(
            gateway.instances,
            settings.headers,
            statusPathOf = { config.current?.propertiesOf(it)?.statusPath },
            readStatus = { address, path ->
                runtime.calls.call(address, "GET", path, STATUS_LIMIT).getOrNull()
            },
        )
    private var onConfigOutageEnded: () -> Unit = {}

    init {
        runtime.metrics.observe(gateway.instances.dataCentres)
        runtime.metrics.observeGroupShares(gateway::groupShares)
        gateway.instances.onTimedChanged = workTimeChecks::instancesChanged
        ReachabilityProbes(runtime.loop, gateway.instances, runtime.connections::checkReachable).start()
    }

    private val callers =
        CallerConnections(
            CallerConnectionContext(
                runtime.loop,
                runtime.nowMs,
                limits = { gateway.config.current?.limits ?: CallerLimits() },
                isDraining = { gateway.isDraining },
                memory = runtime.memory,
                organisationOf = ::organisationOf,
                refuseForMemory = ::refusalForMemory,
                execute = { request, writer -> RequestExecution(gateway, request, writer).also { it.start() } },
            ),
        )

    private fun resumableStreams(): ResumableStreams {
        val isShared = platform.sharedRows != null
        val table = platform.table.takeIf { isShared }
        val storeNowMs = { platform.storeClock.nowMs(runtime.clock()) }
        val versions =
            SoftwareVersions(
                table,
                VersionClocks(runtime.nowMs, storeNowMs),
                platform.storeGeneration,
                windowMsOf = { upstream -> resumableWithinMs(config.current?.longestResumableMsOf(upstream)) },
                spreadMs = { Random.nextInt(usage.entryCount * SPREAD_MS_PER_ENTRY + 1) },
            )
        val records =
            StreamRecords(table, storeNowMs, versions::areSeveral, interval = { recordInterval(usage.entryCount) })
        val resumptions = StreamResumptions(scope, records, versions, isShared, runtime.metrics)
        return ResumableStreams(versions, records, resumptions, isShared)
    }

    private fun organisationOf(requestHeaders: HttpHeaders) =
        gateway.config.current
            ?.organisation(requestHeaders[gateway.settings.headers.key])
            ?.id

    /** The headers of a refusal of the request with [requestHeaders], whose body does not fit into memory. */
    private fun refusalForMemory(requestHeaders: HttpHeaders): HttpHeaders {
        val requestId = requestHeaders[gateway.settings.headers.requestId]
        val organisation = organisationOf(requestHeaders)
        runtime.metrics.memoryRefused("request")
        log.info(
            "event=call_ended request={} outcome=refused reason=\"no memory for the body\" kept_bytes={} " +
                "organisation={} organisation_bytes={}",
            requestId,
            runtime.memory.usedBytes,
            organisation?.value,
            runtime.memory.organisations.heldBytes(organisation),
        )
        val headers = DefaultHttpHeaders()
        headers["Retry-After"] = retryAfterSeconds(Random.Default::nextInt)
        requestId?.let { headers[gateway.settings.headers.requestId] = it }
        return headers
    }

    /** Listens at [addresses] and returns them with the ports that it got where they have port 0. */
    fun listen(addresses: GatewayAddresses): GatewayAddresses {
        val boundCallers = callers.listen(addresses.callers).localAddress() as InetSocketAddress
        val ready = {
            val isReady = gateway.isReady
            Page(
                if (isReady) "ready" else "not ready",
                if (isReady) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE,
            )
        }
        val operatorPages = mapOf("/metrics" to ::metricsPage, "/state" to ::statePage)
        return addresses.copy(
            callers = boundCallers,
            ready = servePages(runtime.loop, addresses.ready, mapOf(addresses.readyPath to ready)),
            operators = addresses.operators?.let { servePages(runtime.loop, it, operatorPages) },
        )
    }

    fun startControlLoops() {
        platform.storeGeneration.onRestored(::onStoreRestored)
        val config = configFollower()
        gateway.config.onStale = { config.readNow(scope) }
        val registry = registryFollower()
        start("config_follower") { config.run() }
        start("registry_follower") { registry.run() }
        platform.sharedRows?.let {
            onConfigOutageEnded =
                SharedRows(
                    gateway.quarantine.reports,
                    limits,
                    gateway.shares,
                    streams.versions,
                    platform.storeGeneration,
                ).follow(it, scope, runtime.clock, runtime.metrics::taskFailed)
            start("crash_reports") { gateway.quarantine.reports.run() }
            start("group_shares") { gateway.publishGroupShares(platform.table, usage) }
        }
        streams.start(scope, runtime.metrics::taskFailed, isResponsible = { usage.isLeaseHeld })
        start("request_limits") { limits.run() }
        start("work_time_checks") { workTimeChecks.run() }
        start("housekeeping") { housekeeping() }
        platform.usage?.let { start("usage") { usage.report(it, runtime.metrics::taskFailed) } }
    }

    private fun start(
        name: String,
        loop: suspend () -> Unit,
    ) = scope.launchRestarting(name, runtime.metrics::taskFailed, task = loop)

    private fun onStoreRestored() {
        log.warn("event=store_restored generation={}", platform.storeGeneration.current)
        runtime.metrics.storeRestored()
        limits.storeRestored()
        streams.storeRestored()
    }

    private suspend fun housekeeping(): Nothing {
        while (true) {
            delay(HOUSEKEEPING_INTERVAL)
            callers.closeOverdue()
            runtime.connections.sweep()
            runtime.memory.updateStreams()
            gateway.instances.removeExpired()
            gateway.quarantine.expire()
            streams.expire()
        }
    }

    private fun configFollower() =
        TableFollower(
            "config",
            platform.config,
            FollowTimes(wait = times.configWait, interval = Duration.ZERO),
            runtime.clock,
            OperatorRows(gateway.config, gateway.instances.dataCentres, runtime.nowMs) { onConfigOutageEnded() },
            platform.storeGeneration,
        )

    private fun registryFollower() =
        instanceFollower(
            platform.instances,
            times,
            runtime.clock,
            RegistryListener(gateway.instances.registry, runtime.nowMs) {
                gateway.instances.apply(it)
                gateway.instances.isLoaded = true
                streams.versions.registryRead(gateway.instances.servingVersions())
            },
            platform.storeGeneration,
        )

    /**
     * Drains the entry: reports not ready, resigns the usage lease, and returns when no request is in progress or the
     * time limit is reached.
     */
    suspend fun drain() {
        log.info("event=drain_started running={}", callers.runningRequests)
        val startedMs = runtime.nowMs()
        val drain = GracefulDrain(startedMs, times.stopLimit)
        gateway.drain = drain
        val resignation = scope.launch { usage.resign() }
        while (!drain.isComplete(runtime.nowMs(), callers.runningRequests)) delay(DRAIN_CHECK_INTERVAL)
        drain.refuseNewRequests()
        callers.endRequests()
        callers.stopListening()
        if (platform.usage != null) usage.storeFinalCounts(drain.remaining(runtime.nowMs()))
        resignation.cancel()
        log.info("event=drain_ended running={} after_ms={}", callers.runningRequests, runtime.nowMs() - startedMs)
    }

    private fun metricsPage(): Page {
        val text = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(text, gateway.metrics.registry.scrape())
        return Page(text.toString(Charsets.UTF_8))
    }

    private fun statePage(): Page {
        val config = gateway.config.current
        val dump =
            buildJsonObject {
                put("incarnation", incarnation.value)
                put("ready", gateway.isReady)
                put("draining", gateway.isDraining)
                put("store_generation", platform.storeGeneration.current)
                put("config_version", config?.version)
                put("config_age_ms", gateway.config.ageMs())
                put("usage_lease_held", usage.isLeaseHeld)
                put("calls_running", callers.runningRequests)
                put("kept_bytes", runtime.memory.usedBytes)
                putJsonObject("largest_holders_bytes") {
                    runtime.memory.organisations.largest(LARGEST_HOLDERS).forEach { (id, bytes) ->
                        put(id?.value ?: "unknown key", bytes)
                    }
                }
                put("calls_queued", gateway.queues.size + gateway.permits.size)
                put("entries", gateway.entryCount())
                putJsonArray("evacuated_data_centres") {
                    gateway.instances.dataCentres.evacuated
                        .forEach { add(it.value) }
                }
                putJsonArray("unreachable_data_centres") {
                    gateway.instances.dataCentres.unreachable
                        .forEach { add(it.value) }
                }
                put("resumable_streams", streams.size)
                putJsonArray("quarantined_parts") { gateway.quarantine.quarantined.forEach { add("$it") } }
                putGroupShares(gateway.groupShares())
                putFairQueues(gateway)
                putInstances(gateway)
            }
        return Page(dump.toString())
    }

    private companion object {
        val HOUSEKEEPING_INTERVAL = 500.milliseconds
        val DRAIN_CHECK_INTERVAL = 50.milliseconds
        const val LARGEST_HOLDERS = 5
        const val SPREAD_MS_PER_ENTRY = 2
        val STATUS_LIMIT = 700.milliseconds
    }
}
