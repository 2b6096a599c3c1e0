/*
 * What a deployment brings to an entry without agents, and the start of one.
 */
package io.teaselspring.daemon.gateway

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.teaselspring.core.freshness.StoreClock
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.lease.LeaseTimes
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.routing.RoutingConfig
import io.teaselspring.daemon.Running
import io.teaselspring.daemon.http.HttpConnections
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.UsageIntake
import io.teaselspring.ports.WatchedTable
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.plus
import kotlinx.coroutines.withContext
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Where an entry listens. [readyPath] answers 200 while callers should be sent here, 503 otherwise. */
data class GatewayAddresses(
    val callers: InetSocketAddress,
    val ready: InetSocketAddress,
    val operators: InetSocketAddress?,
    val readyPath: String,
)

/** The platform as a deployment sees it. [storeClock] is the store's own clock as far as heard. */
class GatewayPlatform(
    val table: TableStore,
    val config: WatchedTable<RoutingConfig>,
    val instances: WatchedTable<RegisteredInstance>,
    val usage: UsageIntake?,
    val storeClock: StoreClock,
)

/**
 * Times of the control side of an entry. A window's usage is reported [usageGrace] after its end when all entries have
 * stored theirs, and [usagePatience] after it in any case.
 */
data class GatewayTimes(
    val usageWindow: Duration,
    val stopLimit: Duration,
    val configWait: Duration = 2.seconds,
    val registryInterval: Duration = 1_400.milliseconds,
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

/** The event loop of an entry and calls on it, for what a deployment builds on them. */
class GatewayRuntime {
    internal val loop: EventLoop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    internal val nowMs: () -> Long = { System.nanoTime() / NANOS_PER_MS }
    internal val connections = HttpConnections(loop, nowMs)
    internal val metrics = GatewayMetrics(PrometheusRegistry())

    /** HTTP calls on the event loop. */
    val calls: HttpCalls = HttpCalls(connections, metrics::controlCall)

    /** Runs on the event loop, as all calls must. */
    val dispatcher: CoroutineDispatcher = loop.asCoroutineDispatcher()

    /** Both clocks now. */
    val clock: () -> ClockReading = { ClockReading(nowMs(), System.currentTimeMillis()) }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}

/** Starts an entry in [scope]; the result's drain ends it without cutting a request. */
suspend fun startGateway(
    runtime: GatewayRuntime,
    settings: GatewaySettings,
    addresses: GatewayAddresses,
    platform: GatewayPlatform,
    times: GatewayTimes,
    scope: CoroutineScope,
): Running {
    val onLoop = runtime.dispatcher
    val server = withContext(onLoop) { GatewayServer(runtime, settings, platform, times, scope + onLoop) }
    // Binding waits for the event loop and must not be done on it.
    server.listen(addresses)
    withContext(onLoop) { server.follow() }
    val bound = linkedMapOf("callers" to addresses.callers.toString(), "ready" to addresses.ready.toString())
    return Running(bound) { withContext(onLoop) { server.drain() } }
}
