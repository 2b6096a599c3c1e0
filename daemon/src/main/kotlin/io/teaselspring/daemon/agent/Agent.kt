/*
 * An agent: the sidecar process of one upstream instance. It accepts links from entries, runs their requests on the
 * upstream, reports its load, checks the health of the upstream and drains gracefully before it shuts down.
 */
package io.teaselspring.daemon.agent

import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.teaselspring.core.admission.AgentScheduler
import io.teaselspring.core.admission.SchedulerPolicy
import io.teaselspring.core.registry.Availability
import io.teaselspring.daemon.MonotonicMs
import io.teaselspring.daemon.gateway.ByteBudget
import io.teaselspring.daemon.launchRestarting
import io.teaselspring.daemon.link.Link
import io.teaselspring.daemon.link.LinkContext
import io.teaselspring.daemon.link.LinkListener
import io.teaselspring.daemon.link.listenForLinks
import io.teaselspring.daemon.milliseconds
import io.teaselspring.daemon.settings.AgentSettings
import io.teaselspring.daemon.usage.NoUsage
import io.teaselspring.daemon.usage.UsageRecorder
import io.teaselspring.protocol.RequestKind
import io.teaselspring.protocol.Role
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.yield
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.agent")

/**
 * The dependencies and timeouts of an agent that are not part of its settings. [memory] bounds the bytes of the
 * requests that it has accepted; it is used only by the agent's event loop.
 */
class AgentDependencies(
    val usage: UsageRecorder = NoUsage,
    val registry: PrometheusRegistry = PrometheusRegistry(),
    val configVersion: () -> Long = { 0 },
    val clock: Clock = Clock.System,
    val nowMs: MonotonicMs = TimeSource.Monotonic.milliseconds(),
    val healthCheckInterval: Duration = 1.seconds,
    val healthCheckTimeout: Duration = 1.seconds,
    val connectTimeout: Duration = 1.seconds,
    val memory: ByteBudget = ByteBudget.ofProcess(),
) {
    internal val metrics = AgentMetrics(registry)
}

/** The agent of the upstream in [settings]. Its coroutines run in [scope] until that is cancelled. */
class Agent(
    private val scope: CoroutineScope,
    private val settings: AgentSettings,
    private val links: LinkContext,
    streamIdleMs: Long,
    private val dependencies: AgentDependencies = AgentDependencies(),
) {
    private val openLinks = ConcurrentHashMap.newKeySet<Link>()
    private val loop =
        AgentLoop(
            settings,
            AgentScheduler(SchedulerPolicy(settings.maxRunning, settings.maxQueued)),
            dependencies,
            ::startRun,
        )
    private val upstream =
        UpstreamClient(
            settings.upstreamUrl,
            streamIdleMs.milliseconds,
            dependencies.connectTimeout,
            UpstreamStatements(settings.leavingHeader, loop.events::send),
        )
    private var listener: LinkListener? = null

    /** True while the upstream passes its health check. */
    @Volatile
    var isReachable: Boolean = false
        private set

    @Volatile
    private var isDraining = false

    /** What the upstream has said of itself in its responses. */
    val availability: Availability get() = loop.availability

    /** True while the agent accepts requests, or will after a pause, and its upstream is reachable. */
    val isReady: Boolean get() = isReachable && !isDraining && availability != Availability.LEAVING

    /** Starts the agent and returns the address that it listens on for links. */
    suspend fun start(internalAddress: String): String {
        scope.coroutineContext.job.invokeOnCompletion { upstream.close() }
        // The scheduler is not restarted: after an error its counts of running requests may be wrong for good.
        scope.launch { loop.run() }
        scope.launchRestarting("health_check") { checkHealthPeriodically() }
        return scope.listenForLinks(links, internalAddress, ::handleLink).also { listener = it }.address
    }

    /** Graceful drain: refuses new requests, waits for the accepted ones and their responses, then closes all links. */
    suspend fun drain() {
        log.info("event=drain_started")
        isDraining = true
        listener?.stopAccepting()
        loop.events.send(AgentEvent.Drain)
        loop.drained.await()
        openLinks.forEach { it.closeAfterSending() }
        upstream.close()
        log.info("event=drained")
    }

    /** Counts of links, attempts and withdrawn keys for the state dump. */
    fun summary(): Map<String, Long> = loop.summary()

    private suspend fun handleLink(link: Link) {
        if (link.peer.role != Role.ENTRY) return
        val session = EntrySession(link)
        openLinks += link
        try {
            loop.events.send(AgentEvent.LinkOpened(session))
            link.incoming.collect { loop.events.send(AgentEvent.MessageReceived(session, it)) }
        } finally {
            openLinks -= link
            withContext(NonCancellable) { loop.events.send(AgentEvent.LinkClosed(session)) }
        }
    }

    // Starts undispatched up to the yield, so that RunEnded is sent even if the job is cancelled before dispatch.
    private fun startRun(attempt: Attempt): Job =
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            var result: RunResult = RunResult.Stopped
            try {
                yield()
                result =
                    when (attempt.submit.kind) {
                        RequestKind.CHAT ->
                            upstream.streamChat(attempt) { loop.events.send(AgentEvent.TokensProduced(attempt.id, 1)) }
                        RequestKind.HTTP -> upstream.forward(attempt)
                    }
            } catch (_: CancellationException) {
                result = RunResult.Stopped
            } finally {
                withContext(NonCancellable) { loop.events.send(AgentEvent.RunEnded(attempt, result)) }
            }
        }

    private suspend fun checkHealthPeriodically() {
        var failures = 0
        while (true) {
            waitForEndOfPause()
            val isHealthy = upstream.isHealthy(dependencies.healthCheckTimeout)
            failures = if (isHealthy) 0 else failures + 1
            // A single failed check does not make a reachable upstream unreachable. The state starts as unreachable, so
            // the first successful check makes it reachable.
            val nowReachable = if (isHealthy) true else isReachable && failures < UNREACHABLE_AFTER_FAILURES
            if (nowReachable != isReachable || failures == 1) updateReachability(nowReachable)
            val interval = dependencies.healthCheckInterval
            delay(if (availability == Availability.LEAVING) minOf(RESTART_CHECK_INTERVAL, interval) else interval)
        }
    }

    /** An upstream in a pause wants no health checks either; it counts as reachable as before. */
    private suspend fun waitForEndOfPause() {
        while (loop.pausedForMs > 0) delay(loop.pausedForMs.milliseconds)
    }

    private suspend fun updateReachability(nowReachable: Boolean) {
        if (nowReachable != isReachable) log.info("event=upstream reachable={}", nowReachable)
        loop.events.send(AgentEvent.UpstreamReachability(nowReachable))
        // Set after the event is queued: the scheduler learns of it before any request of a reader that sees this flag.
        isReachable = nowReachable
        dependencies.metrics.recordReachability(nowReachable)
    }

    private companion object {
        /** Number of consecutive failed health checks after which the upstream counts as unreachable. */
        const val UNREACHABLE_AFTER_FAILURES = 2

        /** Health check interval of an upstream that is leaving: it shows a restart only by a refused connection. */
        val RESTART_CHECK_INTERVAL = 200.milliseconds
    }
}
