/*
 * The event loop of an agent, an actor: one coroutine owns the scheduler, the run record and all attempts. Links, runs
 * and the health check only send it events. It never suspends on any of them, so that a slow peer cannot block it.
 */
package io.teaselspring.daemon.agent

import io.teaselspring.core.admission.AgentScheduler
import io.teaselspring.core.admission.AttemptId
import io.teaselspring.core.admission.SchedulerEvent
import io.teaselspring.core.admission.SchedulerLoad
import io.teaselspring.core.registry.Availability
import io.teaselspring.core.registry.parsePause
import io.teaselspring.daemon.receiveWithin
import io.teaselspring.daemon.settings.AgentSettings
import io.teaselspring.protocol.Message
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.agent")

/** Interval of scheduler ticks while there are attempts. */
private const val TICK_MS = 50L

/** Tick interval without attempts: only load reports are due then, and their interval is longer. */
private const val IDLE_TICK_MS = 500L

/** Longest time between two load reports on an idle link. */
private const val LOAD_INTERVAL_MS = 3_000L

/** Shortest time between two load reports that follow the last message on an attempt. */
private const val LOAD_AFTER_RESPONSE_MS = 100L

/** The state of an agent, confined to the coroutine of [run]. */
internal class AgentLoop(
    private val settings: AgentSettings,
    private val scheduler: AgentScheduler,
    private val dependencies: AgentDependencies,
    startRun: StartRun,
) {
    val events = Channel<AgentEvent>(1024)

    /** Completes when the agent is draining and no accepted attempt is left. */
    val drained = CompletableDeferred<Unit>()

    private val nowMs = dependencies.nowMs
    private val sessions = LinkedHashSet<EntrySession>()
    private val attempts = AttemptTable(settings, scheduler, dependencies, startRun, ::sendToEntry)
    private var lastTickMs = nowMs()

    /** The latest process of the upstream that a statement came from. */
    private var process = 0

    @Volatile
    private var isLeaving = false

    @Volatile
    private var pausedUntilMs = 0L

    /** What the upstream has said of itself, and the time until the end of its pause. */
    val availability: Availability
        get() =
            when {
                isLeaving -> Availability.LEAVING
                pausedForMs > 0 -> Availability.PAUSED
                else -> Availability.OPEN
            }
    val pausedForMs: Long get() = maxOf(0, pausedUntilMs - nowMs())

    suspend fun run() {
        while (true) {
            val waitMs = if (attempts.isEmpty) IDLE_TICK_MS else TICK_MS
            handle(events.receiveWithin(waitMs.milliseconds) ?: AgentEvent.Tick)
            // Under load an event always arrives before the timeout, so the tick is also checked against the clock.
            if (nowMs() - lastTickMs >= TICK_MS) handle(AgentEvent.Tick)
            if (attempts.draining && attempts.isEmpty) drained.complete(Unit)
        }
    }

    private fun handle(event: AgentEvent) {
        when (event) {
            is AgentEvent.LinkOpened -> addSession(event.session)
            is AgentEvent.LinkClosed -> {
                sessions -= event.session
                attempts.handleDisconnect(event.session)
            }
            is AgentEvent.MessageReceived -> handleMessage(event.session, event.message)
            is AgentEvent.TokensProduced -> attempts.step(SchedulerEvent.TokensProduced(event.id, event.count))
            is AgentEvent.RunEnded -> attempts.handleRunEnd(event.attempt, event.result)
            is AgentEvent.UpstreamReachability -> attempts.step(SchedulerEvent.UpstreamReachable(event.reachable))
            is AgentEvent.UpstreamStated -> recordStatement(event)
            AgentEvent.Drain -> drain()
            AgentEvent.Tick -> tick()
        }
    }

    /** Records what the upstream has said of itself, and reports it to all entries if it is new. */
    private fun recordStatement(event: AgentEvent.UpstreamStated) {
        // A late response of an earlier process says nothing about the present one.
        if (event.process < process) return
        val before = scheduler.load(nowMs())
        if (event.process > process) attempts.step(SchedulerEvent.UpstreamRestarted)
        process = event.process
        attempts.step(SchedulerEvent.UpstreamStated(event.isLeaving, parsePause(event.retryAfter)))
        val load = scheduler.load(nowMs())
        isLeaving = load.availability == Availability.LEAVING
        pausedUntilMs = nowMs() + load.pausedForMs
        logStatement(event, before, load)
        if (load.availability != before.availability || load.pausedForMs > before.pausedForMs) {
            sessions.forEach(::sendLoad)
        }
    }

    private fun logStatement(
        event: AgentEvent.UpstreamStated,
        before: SchedulerLoad,
        load: SchedulerLoad,
    ) {
        val upstream = settings.upstream
        if (isLeaving && before.availability != Availability.LEAVING) {
            log.info("event=instance_leaving upstream={} source=response running={}", upstream, load.running)
        }
        if (event.retryAfter.isNotEmpty()) {
            val header = event.retryAfter.joinToString()
            log.info(
                "event=instance_paused upstream={} header=\"{}\" paused_for_ms={}",
                upstream,
                header,
                load.pausedForMs,
            )
        }
        if (load.availability == Availability.OPEN && before.availability != Availability.OPEN) {
            log.info("event=instance_replaced upstream={} before={}", upstream, before.availability.name.lowercase())
        }
    }

    private fun addSession(session: EntrySession) {
        sessions += session
        if (attempts.draining) session.link.offer(Message.Goodbye)
        sendLoad(session)
    }

    private fun drain() {
        attempts.drain()
        sessions.forEach {
            it.link.offer(Message.Goodbye)
            sendLoad(it)
        }
    }

    private fun tick() {
        lastTickMs = nowMs()
        attempts.step(SchedulerEvent.Tick)
        sessions.filter { lastTickMs - it.lastLoadMs >= LOAD_INTERVAL_MS }.forEach(::sendLoad)
    }

    private fun handleMessage(
        session: EntrySession,
        message: Message,
    ) {
        when (message) {
            is Message.Submit -> attempts.submit(session, message)
            is Message.Cancel -> attempts.cancel(AttemptId(message.requestId, message.attempt))
            is Message.Received -> attempts.acknowledge(message)
            is Message.KeysWithdrawn -> attempts.withdrawKeys(message.keyIds)
            // Versions messages are keep-alives that an agent ignores; all others are meant for entries only.
            else -> Unit
        }
    }

    /** Sends the last message on an attempt, followed by a load report unless the last one is too recent. */
    private fun sendToEntry(
        session: EntrySession,
        message: Message,
    ) {
        session.link.offer(message)
        dependencies.metrics.recordMessageSent(message)
        if (nowMs() - session.lastLoadMs >= LOAD_AFTER_RESPONSE_MS) sendLoad(session)
    }

    private fun sendLoad(session: EntrySession) {
        val load = scheduler.load(nowMs())
        val flushed = dependencies.usage.flushedSequence(session.link.peer.incarnation)
        dependencies.metrics.recordLoad(load)
        session.lastLoadMs = nowMs()
        session.link.offer(load.toMessage(flushed, dependencies.configVersion()))
    }

    /** Counts for the state dump. Other coroutines read them without synchronisation, so they may be stale. */
    fun summary(): Map<String, Long> = mapOf("entries" to sessions.size.toLong()) + attempts.summary()
}
