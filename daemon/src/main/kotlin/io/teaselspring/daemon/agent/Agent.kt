/*
 * An agent: the process beside one upstream. It accepts links from entries, runs their requests on the upstream and
 * reports its load.
 */
package io.teaselspring.daemon.agent

import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.teaselspring.core.admission.AgentScheduler
import io.teaselspring.core.admission.SchedulerPolicy
import io.teaselspring.daemon.MonotonicMs
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

/** What an agent needs besides its settings. */
class AgentParts(
    val usage: UsageRecorder = NoUsage,
    val registry: PrometheusRegistry = PrometheusRegistry(),
    val configVersion: () -> Long = { 0 },
    val clock: Clock = Clock.System,
    val nowMs: MonotonicMs = TimeSource.Monotonic.milliseconds(),
    val probeInterval: Duration = 1.seconds,
    val probeLimit: Duration = 1.seconds,
    val connectLimit: Duration = 1.seconds,
) {
    internal val observer = AgentMetrics(registry)
}

/** An agent beside the upstream of [settings]. It works within [scope] until that is cancelled. */
class Agent(
    private val scope: CoroutineScope,
    private val settings: AgentSettings,
    private val links: LinkContext,
    streamIdleMs: Long,
    private val parts: AgentParts = AgentParts(),
) {
    private val upstream = UpstreamClient(settings.upstreamUrl, streamIdleMs.milliseconds, parts.connectLimit)
    private val openLinks = ConcurrentHashMap.newKeySet<Link>()
    private val loop =
        AgentLoop(
            settings,
            AgentScheduler(SchedulerPolicy(settings.maxRunning, settings.maxQueued)),
            parts,
            ::startRun,
        )
    private var listener: LinkListener? = null

    /** True while the upstream answers its health check. */
    @Volatile
    var isReachable: Boolean = false
        private set

    @Volatile
    private var isDraining = false

    /** True while the agent takes work and its upstream can be reached. */
    val isReady: Boolean get() = isReachable && !isDraining

    /** Starts the agent; returns the address that it accepts links on. */
    suspend fun start(internalAddress: String): String {
        scope.coroutineContext.job.invokeOnCompletion { upstream.close() }
        scope.launch { loop.run() }
        scope.launch { probe() }
        return scope.listenForLinks(links, internalAddress, ::serve).also { listener = it }.address
    }

    /** Takes no new work, waits until the accepted work has ended and its answers are sent, and closes all links. */
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

    /** What the agent is doing, for the state dump. */
    fun summary(): Map<String, Long> = loop.summary()

    private suspend fun serve(link: Link) {
        if (link.peer.role != Role.ENTRY) return
        val session = EntrySession(link)
        openLinks += link
        try {
            loop.events.send(AgentEvent.LinkOpened(session))
            link.incoming.collect { loop.events.send(AgentEvent.FromEntry(session, it)) }
        } finally {
            openLinks -= link
            withContext(NonCancellable) { loop.events.send(AgentEvent.LinkClosed(session)) }
        }
    }

    // Undispatched up to the yield, so that the run reports its end also when it is cancelled before it began.
    private fun startRun(attempt: Attempt): Job =
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            var result: RunResult = RunResult.Stopped
            try {
                yield()
                result =
                    when (attempt.submit.kind) {
                        RequestKind.CHAT ->
                            upstream.chat(attempt) { loop.events.send(AgentEvent.Produced(attempt.id, 1)) }
                        RequestKind.HTTP -> upstream.call(attempt)
                    }
            } catch (_: CancellationException) {
                result = RunResult.Stopped
            } finally {
                withContext(NonCancellable) { loop.events.send(AgentEvent.RunEnded(attempt, result)) }
            }
        }

    private suspend fun probe() {
        var failures = 0
        while (true) {
            val isHealthy = upstream.isHealthy(parts.probeLimit)
            failures = if (isHealthy) 0 else failures + 1
            // One lost probe is not an outage; at the start nothing is known, so the first response decides.
            val nowReachable = if (isHealthy) true else isReachable && failures < MAX_PROBE_FAILURES
            if (nowReachable != isReachable || failures == 1) change(nowReachable)
            delay(parts.probeInterval)
        }
    }

    private suspend fun change(nowReachable: Boolean) {
        if (nowReachable != isReachable) log.info("event=upstream reachable={}", nowReachable)
        loop.events.send(AgentEvent.Reachable(nowReachable))
        // Set last, so that whoever sees the agent as reachable finds its scheduler told.
        isReachable = nowReachable
        parts.observer.reachable(nowReachable)
    }

    private companion object {
        const val MAX_PROBE_FAILURES = 2
    }
}
