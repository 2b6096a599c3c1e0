/*
 * Test fixture: an agentless entry in this process, with an in-memory store and scripted upstreams.
 */
package io.teaselspring.daemon.gateway

import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.freshness.StoreClock
import io.teaselspring.core.freshness.StoreGeneration
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.routing.CallerLimits
import io.teaselspring.core.routing.CallerOrganisation
import io.teaselspring.core.routing.OperatorRow
import io.teaselspring.core.routing.RequestRoute
import io.teaselspring.core.routing.RouteKind
import io.teaselspring.core.routing.RoutingConfig
import io.teaselspring.core.routing.UpstreamProperties
import io.teaselspring.core.routing.WeightedUpstream
import io.teaselspring.daemon.Running
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.daemon.eventually
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.job
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

internal const val STORE_START_MS = 1_000_000L
private const val NANOS_PER_MS = 1_000_000L
internal const val SITE_KEY = "k1"

/** Key of an organisation whose requests precede those with [SITE_KEY]. */
internal const val URGENT_KEY = "k0"
internal const val PLAIN = "/plain/"
internal const val ORDER = "/order/"
internal const val STREAM = "/stream/"
internal const val RESUMED = "/resumed/"

/** A route that needs no key. */
internal const val PUBLIC = "/public/"

/** Where instances state their status; only those that state their work time are asked. */
internal const val STATUS = "/status"

/**
 * The entry with [upstreams] as its instances. [timeoutMs] is the timeout of all routes. If [limits] is null, there is
 * no configuration at first.
 */
class GatewaySite(
    val upstreams: List<ScriptedUpstream>,
    private val timeoutMs: Long = 5_000,
    settings: GatewaySettings = testSettings(),
    stopLimit: Duration = 5.hours,
    reportsUsage: Boolean = false,
    sharedRows: FakeWatchedTable<SharedRow>? = null,
    val platform: FakePlatform = FakePlatform(),
    private val startedMs: Long = System.nanoTime() / NANOS_PER_MS,
    times: GatewayTimes = GatewayTimes(usageWindow = 1.hours, stopLimit),
    memory: ByteBudget = ByteBudget.ofProcess(),
    private val limits: CallerLimits? = CallerLimits(),
) : AutoCloseable {
    private val storeClock = StoreClock().also { it.observe(STORE_START_MS, startClock(), startClock()) }
    private val storeGeneration = StoreGeneration()
    val config = FakeWatchedTable<OperatorRow>()
    val instances = FakeWatchedTable<RegisteredInstance>()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val runtime = GatewayRuntime(memory)
    private val loopDispatcher = runtime.dispatcher
    private val running: Running

    /** Where the entry accepts connections of callers. */
    val listening: InetSocketAddress
    private val ready: InetSocketAddress

    init {
        if (limits != null) config.set("config", configOf(version = 1))
        upstreams.forEachIndexed { index, upstream -> add("engine-$index", upstream) }
        running =
            runBlocking {
                startGateway(
                    runtime,
                    settings,
                    GatewayAddresses(anyPort, anyPort, null, "/ready"),
                    GatewayPlatform(
                        ObservedTable(platform, ::observeStore),
                        ObservedWatchedTable(config, ::observeStore),
                        ObservedWatchedTable(instances, ::observeStore),
                        platform.platform.usage.takeIf { reportsUsage },
                        storeClock,
                        processQuery = platform.processQuery,
                        sharedRows = sharedRows?.let { ObservedWatchedTable(it, ::observeStore) },
                        storeGeneration = storeGeneration,
                    ),
                    times,
                    scope,
                )
            }
        listening = boundAddress("callers")
        ready = boundAddress("ready")
    }

    private fun boundAddress(listener: String): InetSocketAddress {
        val port =
            running.addresses
                .getValue(listener)
                .substringAfterLast(':')
                .toInt()
        return InetSocketAddress(InetAddress.getLoopbackAddress(), port)
    }

    /** Registers [upstream] as the instance [id] in [dataCentre], whose software has [version]. */
    fun add(
        id: String,
        upstream: ScriptedUpstream,
        dataCentre: String = "oviedo",
        version: String = "",
        isDraining: Boolean = false,
        startedAtMs: Long = 1,
    ) = instances.set(
        id,
        RegisteredInstance(
            InstanceId(id),
            UPSTREAM,
            upstream.address,
            DataCentre(dataCentre),
            64,
            isDraining,
            startedAtMs,
            version = version,
        ),
    )

    /** The configuration of the site with [keys] for its first organisation. */
    fun configOf(
        version: Long,
        keys: Set<String> = setOf(SITE_KEY),
        limits: CallerLimits = this.limits ?: CallerLimits(),
    ) = RoutingConfig(
        version,
        listOf(
            route(PLAIN, RouteKind.IDEMPOTENT, attempts = 2),
            route(ORDER, RouteKind.NON_IDEMPOTENT, attempts = 2),
            route(STREAM, RouteKind.STREAM, attempts = 2),
            route(RESUMED, RouteKind.STREAM, attempts = 2, isResumable = true),
            route(PUBLIC, RouteKind.IDEMPOTENT, attempts = 2, isPublic = true),
        ),
        listOf(
            CallerOrganisation(OrganisationId("hotel"), keys, 1),
            CallerOrganisation(OrganisationId("clinic"), setOf(URGENT_KEY), 0),
        ),
        limits,
        listOf(UpstreamProperties(UPSTREAM, statusPath = STATUS)),
    )

    private fun route(
        prefix: String,
        kind: RouteKind,
        attempts: Int,
        isResumable: Boolean = false,
        isPublic: Boolean = false,
    ) = RequestRoute(
        prefix,
        "rides.example",
        prefix,
        kind,
        listOf(WeightedUpstream(UPSTREAM, 1)),
        timeoutMs,
        targetLatencyMs = 100,
        maxEventGapMs = null,
        priority = 2,
        maxAttempts = attempts,
        isPublic,
        isResumable,
    )

    private fun observeStore(sentMs: Long) {
        val now = ClockReading(System.nanoTime() / NANOS_PER_MS, System.currentTimeMillis())
        val sentAt = ClockReading(sentMs, now.wallMs - (now.monotonicMs - sentMs))
        storeClock.observe(STORE_START_MS + now.monotonicMs - startedMs, sentAt, now)
        storeGeneration.observe(platform.generation)
    }

    private fun startClock() =
        ClockReading(startedMs, System.currentTimeMillis() - (System.nanoTime() / NANOS_PER_MS - startedMs))

    /** Time since the start of the site, when the store's clock was [STORE_START_MS]. */
    fun millisSinceStart(): Long = System.nanoTime() / NANOS_PER_MS - startedMs

    /** Opens a connection to the entry as a caller whose kernel keeps [receiveBufferBytes] of what it has not read. */
    fun connect(receiveBufferBytes: Int? = null) =
        Socket().apply {
            receiveBufferBytes?.let { receiveBufferSize = it }
            connect(listening)
        }

    /** Sends one request and reads until the entry closes the connection. */
    fun call(
        prefix: String,
        key: String? = SITE_KEY,
        method: String = "POST",
        body: String = "",
        headers: String = "",
        id: String = "r1",
    ): String =
        connect().use { socket ->
            socket.getOutputStream().write(request(prefix, key, method, body, headers + "Connection: close\r\n", id))
            socket.getInputStream().readAllBytes().decodeToString()
        }

    /** A request as bytes. */
    fun request(
        prefix: String,
        key: String? = SITE_KEY,
        method: String = "POST",
        body: String = "",
        headers: String = "",
        id: String = "r1",
    ): ByteArray {
        val credential = key?.let { "X-Api-Key: $it\r\n" }.orEmpty()
        val head = "$method ${prefix}x HTTP/1.1\r\nHost: rides.example\r\nX-Request-Id: $id\r\n$credential$headers"
        return "${head}Content-Length: ${body.length}\r\n\r\n$body".toByteArray()
    }

    /** Lets the entry get a response of the store. */
    suspend fun probeStore() = withContext(loopDispatcher) { observeStore(System.nanoTime() / NANOS_PER_MS) }

    /** Runs [block] on the entry's event loop, which does nothing else meanwhile. */
    suspend fun <T> onLoop(block: () -> T): T = withContext(loopDispatcher) { block() }

    /** Drains the entry gracefully. */
    suspend fun drain() = running.drain()

    /** Ends the entry's event loop, which closes all connections as the end of its process does. */
    suspend fun endProcess() {
        // The kernel has what was written before the process ends.
        withContext(loopDispatcher) { }
        // Without a quiet period the loop may end before it has closed its connections.
        runtime.loop.shutdownGracefully(50, 2_000, TimeUnit.MILLISECONDS).sync()
    }

    /** Whether the readiness page responds 200. */
    fun isReady(): Boolean =
        Socket(ready.address, ready.port).use { socket ->
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n".toByteArray())
            socket
                .getInputStream()
                .readAllBytes()
                .decodeToString()
                .startsWith("HTTP/1.1 200")
        }

    /** Ends the entry with its event loop, which would otherwise go on connecting to closed upstreams. */
    override fun close() {
        // The tasks end on the event loop, which rejects them once it is shut down.
        runBlocking { withTimeoutOrNull(2.seconds) { scope.coroutineContext.job.cancelAndJoin() } }
        runtime.loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }

    companion object {
        val UPSTREAM = UpstreamName("narradores")

        fun testSettings() =
            GatewaySettings(
                InstanceId("entry-1"),
                DataCentre("oviedo"),
                HeaderNames(systemOnly = setOf("X-Hold")),
                assumedEntries = 1,
            )

        private val anyPort = InetSocketAddress(InetAddress.getLoopbackAddress(), 0)
    }
}

/** Runs [block] on a site with [upstreams] once its entry is ready. */
suspend fun withGateway(
    vararg upstreams: ScriptedUpstream,
    timeoutMs: Long = 5_000,
    settings: GatewaySettings = GatewaySite.testSettings(),
    stopLimit: Duration = 5.hours,
    reportsUsage: Boolean = false,
    sharedRows: FakeWatchedTable<SharedRow>? = null,
    block: suspend GatewaySite.() -> Unit,
) = withSite(GatewaySite(upstreams.toList(), timeoutMs, settings, stopLimit, reportsUsage, sharedRows), block)

/** Runs [block] on [site] once its entry is ready. */
suspend fun withSite(
    site: GatewaySite,
    block: suspend GatewaySite.() -> Unit,
) {
    try {
        withContext(Dispatchers.IO) {
            eventually { site.isReady() shouldBe true }
            site.block()
        }
    } finally {
        site.close()
        site.upstreams.forEach { it.close() }
    }
}

/** Runs [block] on [entries] entries with the same store and [upstreams], once all are ready. */
suspend fun withGateways(
    entries: Int,
    vararg upstreams: ScriptedUpstream,
    platform: FakePlatform = FakePlatform(),
    times: GatewayTimes? = null,
    timeoutMs: Long = 5_000,
    block: suspend (List<GatewaySite>) -> Unit,
) {
    val sharedRows = FakeWatchedTable<SharedRow>()
    platform.onApplied = { write ->
        if (write.table == SHARED_TABLE) sharedRows.set(write.key, decodeSharedRow(write.key, write.value.toString()))
    }
    val startedMs = System.nanoTime() / NANOS_PER_MS
    val sites =
        List(entries) {
            val settings = GatewaySite.testSettings().copy(instance = InstanceId("entry-$it"), assumedEntries = entries)
            GatewaySite(
                upstreams.toList(),
                timeoutMs,
                settings,
                sharedRows = sharedRows,
                platform = platform,
                startedMs = startedMs,
                reportsUsage = times != null,
                times = times ?: GatewayTimes(usageWindow = 1.hours, stopLimit = 5.hours),
            )
        }
    try {
        withContext(Dispatchers.IO) {
            sites.forEach { site -> eventually { site.isReady() shouldBe true } }
            block(sites)
        }
    } finally {
        sites.forEach { it.close() }
        upstreams.forEach { it.close() }
    }
}
