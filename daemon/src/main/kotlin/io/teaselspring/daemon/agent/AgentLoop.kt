/*
 * The loop of an agent. One coroutine owns the scheduler, the record of requests and all attempts; links, runs and
 * the health probe only send it events. It never waits for any of them, so that it cannot be held up by a slow
 * peer.
 */
package io.teaselspring.daemon.agent

import io.teaselspring.core.admission.AgentScheduler
import io.teaselspring.core.admission.AttemptId
import io.teaselspring.core.admission.SchedulerEvent
import io.teaselspring.daemon.settings.AgentSettings
import io.teaselspring.protocol.Message
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds

private const val TICK_MS = 50L

/** Without work only load reports are due, which have a longer interval. */
private const val IDLE_TICK_MS = 500L

/** Longest time between two load reports on an idle link. */
private const val LOAD_INTERVAL_MS = 3_000L

/** Shortest time between two load reports that follow answers. */
private const val LOAD_AFTER_RESPONSE_MS = 100L

/** The state of an agent. [run] is the only coroutine that touches it. */
internal class AgentLoop(
    settings: AgentSettings,
    private val scheduler: AgentScheduler,
    private val parts: AgentParts,
    startRun: StartRun,
) {
    val events = Channel<AgentEvent>(1024)

    /** Completes when a drain has ended all accepted work. */
    val drained = CompletableDeferred<Unit>()

    private val nowMs = parts.nowMs
    private val sessions = LinkedHashSet<EntrySession>()
    private val attempts = AttemptTable(settings, scheduler, parts, startRun, ::sendToEntry)
    private var lastTickMs = nowMs()

    suspend fun run() {
        while (true) {
            val waitMs = if (attempts.isEmpty) IDLE_TICK_MS else TICK_MS
            handle(withTimeoutOrNull(waitMs.milliseconds) { events.receive() } ?: AgentEvent.Tick)
            // Under load the timeout never passes, so the tick is due by the clock.
            if (nowMs() - lastTickMs >= TICK_MS) handle(AgentEvent.Tick)
            if (attempts.draining && attempts.isEmpty) drained.complete(Unit)
        }
    }

    private fun handle(event: AgentEvent) {
        when (event) {
            is AgentEvent.LinkOpened -> open(event.session)
            is AgentEvent.LinkClosed -> {
                sessions -= event.session
                attempts.entryLost(event.session)
            }
            is AgentEvent.FromEntry -> fromEntry(event.session, event.message)
            is AgentEvent.Produced -> attempts.step(SchedulerEvent.TokensProduced(event.id, event.count))
            is AgentEvent.RunEnded -> attempts.runEnded(event.attempt, event.result)
            is AgentEvent.Reachable -> attempts.step(SchedulerEvent.UpstreamReachable(event.reachable))
            AgentEvent.Drain -> drain()
            AgentEvent.Tick -> tick()
        }
    }

    private fun open(session: EntrySession) {
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

    private fun fromEntry(
        session: EntrySession,
        message: Message,
    ) {
        when (message) {
            is Message.Submit -> attempts.submit(session, message)
            is Message.Cancel -> attempts.cancel(AttemptId(message.requestId, message.attempt))
            is Message.Received -> attempts.received(message)
            is Message.KeysWithdrawn -> attempts.withdraw(message.keyIds)
            // Versions keep the link alive and mean nothing to an agent; the rest concerns entries only.
            else -> Unit
        }
    }

    /** Sends the last message on an attempt, and the load with it unless that was sent just before. */
    private fun sendToEntry(
        session: EntrySession,
        message: Message,
    ) {
        session.link.offer(message)
        parts.observer.messageSent(message)
        if (nowMs() - session.lastLoadMs >= LOAD_AFTER_RESPONSE_MS) sendLoad(session)
    }

    private fun sendLoad(session: EntrySession) {
        val load = scheduler.load(nowMs())
        val flushed = parts.usage.flushedSequence(session.link.peer.incarnation)
        parts.observer.load(load)
        session.lastLoadMs = nowMs()
        session.link.offer(load.message(flushed, attempts.draining, parts.configVersion()))
    }

    /** Figures for the state dump; read from other coroutines, so they may be a moment old. */
    fun summary(): Map<String, Long> = mapOf("entries" to sessions.size.toLong()) + attempts.summary()
}
