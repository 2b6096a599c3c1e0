/*
 * The attempts of an agent: what it has accepted, what it has run, and what it tells the entry at the end of each.
 * All last messages on an attempt are decided here, so that "not run" is said in one place and only when it is
 * true.
 */
package io.teaselspring.daemon.agent

import io.teaselspring.core.Incarnation
import io.teaselspring.core.KeyId
import io.teaselspring.core.admission.AgentScheduler
import io.teaselspring.core.admission.AttemptId
import io.teaselspring.core.admission.SchedulerAction
import io.teaselspring.core.admission.SchedulerEvent
import io.teaselspring.core.admission.StopCause
import io.teaselspring.daemon.settings.AgentSettings
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.NotRunReason
import io.teaselspring.protocol.RequestKind
import io.teaselspring.protocol.UsageRecord
import kotlinx.coroutines.Job

private const val MAX_WITHDRAWN_KEYS = 100_000

/** Starts the work of an attempt on the upstream; the run reports its end as [AgentEvent.RunEnded]. */
internal typealias StartRun = (Attempt) -> Job

/** Sends the last message on an attempt to its entry. */
internal typealias SendToEntry = (EntrySession, Message) -> Unit

private fun RunResult.label() = (this::class.simpleName ?: "unknown").lowercase()

/** The attempts of one agent; used by the agent's loop only. */
internal class AttemptTable(
    private val settings: AgentSettings,
    private val scheduler: AgentScheduler,
    private val parts: AgentParts,
    private val startRun: StartRun,
    private val sendToEntry: SendToEntry,
) {
    private val nowMs = parts.nowMs
    private val attempts = HashMap<AttemptId, Attempt>()
    private val record = RunRecord()
    private val withdrawn = LinkedHashSet<KeyId>()
    private val sequences = HashMap<Incarnation, Long>()

    /** True once nothing new is accepted. */
    var draining = false
        private set

    val isEmpty: Boolean get() = attempts.isEmpty()

    fun summary(): Map<String, Long> =
        mapOf("attempts" to attempts.size.toLong(), "withdrawn_keys" to withdrawn.size.toLong())

    fun drain() {
        draining = true
        step(SchedulerEvent.DrainStarted)
    }

    /** The entry's link is closed: nobody waits for its attempts any more. */
    fun entryLost(session: EntrySession) {
        attempts.values.filter { it.session === session }.forEach { attempt ->
            attempt.entryLost()
            cancel(attempt.id)
        }
    }

    /** The entry gave [id] up. A call that is not idempotent and has started runs to its end all the same. */
    fun cancel(id: AttemptId) {
        record.abandon(id, nowMs())
        val attempt = attempts[id]
        if (attempt == null || !attempt.runsToItsEnd || attempt.starts == 0) giveUp(id)
    }

    /** The entry has passed chunks on. */
    fun received(message: Message.Received) {
        attempts[AttemptId(message.requestId, message.attempt)]?.received(message.nextOffset)
    }

    /** Ends the work of these keys and refuses it from now on. */
    fun withdraw(keyIds: List<KeyId>) {
        withdrawn += keyIds
        val oldest = withdrawn.iterator()
        while (withdrawn.size > MAX_WITHDRAWN_KEYS) oldest.run { next().also { remove() } }
        step(SchedulerEvent.KeysWithdrawn(keyIds.toSet()))
    }

    /** Takes an offer: answers it at once or hands it to the scheduler. */
    fun submit(
        session: EntrySession,
        submit: Message.Submit,
    ) {
        val now = nowMs()
        val attempt = Attempt(session, submit)
        val refusal = refusalOf(submit)
        val recorded = record.find(submit, now)
        when {
            attempt.id in attempts || recorded == Recorded.RUN ->
                sendToEntry(session, submit.failed("the request id was already run", null))
            recorded == Recorded.ABANDONED -> sendToEntry(session, submit.notRun(NotRunReason.DUPLICATE))
            recorded == Recorded.FULL -> sendToEntry(session, submit.notRun(NotRunReason.QUEUE_FULL))
            refusal != null -> sendToEntry(session, submit.notRun(refusal))
            else -> {
                attempts[attempt.id] = attempt
                step(SchedulerEvent.Offered(submit.offered(now)))
            }
        }
    }

    private fun refusalOf(submit: Message.Submit): NotRunReason? {
        val isServed = submit.kind != RequestKind.CHAT || submit.model in settings.models
        return when {
            submit.keyId != null && submit.keyId in withdrawn -> NotRunReason.KEY_WITHDRAWN
            draining -> NotRunReason.DRAINING
            !isServed -> NotRunReason.NOT_SERVED
            else -> null
        }
    }

    private fun giveUp(id: AttemptId) {
        step(SchedulerEvent.Cancelled(id))
        // A queued attempt ends without a stop; one that runs ends when its run does.
        attempts[id]?.takeIf { it.job == null }?.let { finish(it) }
    }

    /** Gives [event] to the scheduler and carries out what it decides. */
    fun step(event: SchedulerEvent) {
        scheduler.step(event, nowMs()).forEach { action ->
            when (action) {
                is SchedulerAction.Accept -> accept(action.id)
                is SchedulerAction.Refuse -> refuse(action)
                is SchedulerAction.Start -> start(action.id)
                is SchedulerAction.Stop -> stop(action.id, action.cause)
            }
        }
    }

    private fun accept(id: AttemptId) {
        val attempt = attempts[id] ?: return
        attempt.session.link.offer(Message.Accepted(id.requestId, id.attempt))
    }

    private fun refuse(action: SchedulerAction.Refuse) {
        val attempt = attempts[action.id] ?: return
        if (attempt.starts > 0) {
            sendToEntry(attempt.session, attempt.submit.failed("refused after a preemption", recordUsage(attempt)))
        } else {
            sendToEntry(attempt.session, attempt.submit.notRun(action.reason.toNotRun(), action.retryAfterMs))
        }
        finish(attempt)
    }

    private fun start(id: AttemptId) {
        val attempt = attempts[id]
        if (attempt == null) {
            // It ended while the scheduler still counted it as preempted.
            step(SchedulerEvent.Ended(id))
            return
        }
        record.run(id, nowMs())
        attempt.starts += 1
        attempt.stopCause = null
        attempt.job = startRun(attempt)
    }

    private fun stop(
        id: AttemptId,
        cause: StopCause,
    ) {
        val attempt = attempts[id] ?: return
        attempt.stopCause = cause
        val job = attempt.job
        if (job != null) {
            job.cancel()
        } else if (cause != StopCause.PREEMPTED) {
            stopped(attempt, cause)
        }
    }

    /** A run no longer occupies the upstream. */
    fun runEnded(
        attempt: Attempt,
        result: RunResult,
    ) {
        attempt.job = null
        val submit = attempt.submit
        parts.observer.runEnded(submit.kind, result.label(), attempt.completionTokens)
        when (result) {
            RunResult.Complete -> {
                val usage = recordUsage(attempt)
                end(attempt, Message.Finished(submit.requestId, submit.attempt, attempt.nextOffset, usage))
            }
            is RunResult.Broken -> end(attempt, submit.failed(result.detail, recordUsage(attempt)))
            is RunResult.NotSent -> notSent(attempt, NotRunReason.UPSTREAM_DOWN, DEFAULT_RETRY_AFTER_MS)
            is RunResult.RefusedByUpstream -> notSent(attempt, NotRunReason.QUEUE_FULL, result.retryAfterMs)
            RunResult.Stopped -> {
                val cause = attempt.stopCause ?: StopCause.CANCELLED
                if (cause != StopCause.PREEMPTED) stopped(attempt, cause)
            }
        }
        step(SchedulerEvent.Ended(attempt.id, completed = result == RunResult.Complete))
    }

    private fun notSent(
        attempt: Attempt,
        reason: NotRunReason,
        retryAfterMs: Long,
    ) {
        if (attempt.startedSent || attempt.starts > 1) {
            end(attempt, attempt.submit.failed("the upstream is not reachable", recordUsage(attempt)))
        } else {
            record.notRun(attempt.id)
            end(attempt, attempt.submit.notRun(reason, retryAfterMs))
        }
    }

    private fun stopped(
        attempt: Attempt,
        cause: StopCause,
    ) {
        val usage = recordUsage(attempt)
        val isWithdrawn = cause == StopCause.KEY_WITHDRAWN
        end(attempt, attempt.submit.failed("stopped: ${cause.name.lowercase()}", usage, isWithdrawn))
    }

    private fun end(
        attempt: Attempt,
        message: Message,
    ) {
        finish(attempt)
        sendToEntry(attempt.session, message)
    }

    private fun finish(attempt: Attempt) {
        attempts.remove(attempt.id)
    }

    private fun recordUsage(attempt: Attempt): UsageRecord {
        val submit = attempt.submit
        val entry = attempt.session.link.peer.incarnation
        val sequence = (sequences[entry] ?: 0) + 1
        sequences[entry] = sequence
        return UsageRecord(
            sequence = sequence,
            requestId = submit.requestId,
            organisation = submit.organisation,
            serviceClass = submit.serviceClass,
            promptTokens = attempt.promptTokens,
            completionTokens = attempt.completionTokens,
            finishedAtMs = parts.clock.now().toEpochMilliseconds(),
        ).also { parts.usage.record(entry, it) }
    }
}
