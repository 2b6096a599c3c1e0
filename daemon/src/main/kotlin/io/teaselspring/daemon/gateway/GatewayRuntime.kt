/*
 * What a deployment provides to an agentless entry, and the function that starts one.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.teaselspring.core.freshness.StoreClock
import io.teaselspring.core.freshness.StoreGeneration
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.lease.LeaseTimes
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.routing.OperatorRow
import io.teaselspring.daemon.Running
import io.teaselspring.daemon.http.HttpConnections
import io.teaselspring.daemon.http.OutOfStep
import io.teaselspring.daemon.http.ProcessQuery
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.UsageIntake
import io.teaselspring.ports.WatchedTable
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.plus
import kotlinx.coroutines.withContext
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** Listen addresses of an entry. [readyPath] responds 200 while the entry is ready for callers, 503 otherwise. */
data class GatewayAddresses(
    val callers: InetSocketAddress,
    val ready: InetSocketAddress,
    val operators: InetSocketAddress?,
    val readyPath: String,
)

/**
 * Reads the tokens that the model engine at an address, "IP:port", keeps of running requests and cached parts. Calls
 * `onResponse` with the engine's response, whatever its status.
 */
typealias ReadMemory =
    suspend (address: String, onResponse: (HttpCallResponse) -> Unit) -> Either<PlatformError, Long>

/**
 * Interfaces to the platform. [config] holds all rows of the operators. [storeClock] estimates the store's clock from
 * its responses. Without [readMemory] the queue does not bound the memory of running requests; without [processQuery]
 * an instance that has started again is known only by its row; without [sharedRows] entries don't share what they learn
 * of instances. [storeGeneration] shows restores of the store from an older copy.
 */
class GatewayPlatform(
    val table: TableStore,
    val config: WatchedTable<OperatorRow>,
    val instances: WatchedTable<RegisteredInstance>,
    val usage: UsageIntake?,
    val storeClock: StoreClock,
    val readMemory: ReadMemory? = null,
    val processQuery: ProcessQuery? = null,
    val sharedRows: WatchedTable<SharedRow>? = null,
    val storeGeneration: StoreGeneration = StoreGeneration(),
)

/**
 * Times of an entry's control loops and its drain. The usage of a window is reported [usageGrace] after the end of the
 * window if all entries have stored their counts, and after [usagePatience] even if counts are missing. An instance
 * that lives but cannot reach the registry is listed for at least [instanceRowLifetime] more,
 * and by an available registry for [instanceRowTimeout].
 */
data class GatewayTimes(
    val usageWindow: Duration,
    val stopLimit: Duration,
    val configWait: Duration = 2.seconds,
    val registryInterval: Duration = 1_400.milliseconds,
    val instanceRowLifetime: Duration = Duration.ZERO,
    val instanceRowTimeout: Duration = 3_600.milliseconds,
    val usageGrace: Duration = 600.milliseconds,
    val usagePatience: Duration = 7_500.milliseconds,
    val usageInterval: Duration = 1.seconds,
    val leaseTimes: LeaseTimes =
        LeaseTimes(
            durationMs = 4_000,
            renewMs = 1_300,
            pollMs = 3_000,
            retryMs = 1_000,
            safetyMs = 800,
            marginMs = 300,
            orderDeadlineMs = 800,
        ),
)

/** The event loop of an entry, with the HTTP client and clocks that a deployment builds its clients on. */
class GatewayRuntime internal constructor(
    internal val memory: ByteBudget,
) {
    constructor() : this(ByteBudget.ofProcess())

    internal val loop: EventLoop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    internal val nowMs: () -> Long = { System.nanoTime() / NANOS_PER_MS }
    internal val metrics = GatewayMetrics(PrometheusRegistry()).also { it.observe(memory) }
    internal val connections = HttpConnections(loop, nowMs, onOutOfStep = ::recordOutOfStep)

    /** HTTP client on the event loop. */
    val calls: HttpCalls = HttpCalls(connections, metrics::controlCall)

    /** Dispatches to the event loop, where all calls must be made. */
    val dispatcher: CoroutineDispatcher = loop.asCoroutineDispatcher()

    /** Reads the monotonic and the wall clock. */
    val clock: () -> ClockReading = { ClockReading(nowMs(), System.currentTimeMillis()) }

    private fun recordOutOfStep(seen: OutOfStep) {
        metrics.outOfStep(seen.kind.label)
        log.info(
            "event=connection_out_of_step kind={} peer={} request={}",
            seen.kind.label,
            seen.address,
            seen.requestId,
        )
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}

/**
 * Starts an entry in [scope]. The result has the addresses "callers" and "ready", with the ports that the entry got
 * where [addresses] has port 0; its drain lets requests in progress finish.
 */
suspend fun startGateway(
    runtime: GatewayRuntime,
    settings: GatewaySettings,
    addresses: GatewayAddresses,
    platform: GatewayPlatform,
    times: GatewayTimes,
    scope: CoroutineScope,
): Running {
    val loopDispatcher = runtime.dispatcher
    val server =
        withContext(loopDispatcher) { GatewayServer(runtime, settings, platform, times, scope + loopDispatcher) }
    // bind().sync() blocks until the event loop has run the bind, so it would deadlock on the loop itself.
    val bound = server.listen(addresses)
    withContext(loopDispatcher) { server.startControlLoops() }
    val listening = linkedMapOf("callers" to bound.callers.toString(), "ready" to bound.ready.toString())
    return Running(listening) { withContext(loopDispatcher) { server.drain() } }
}
