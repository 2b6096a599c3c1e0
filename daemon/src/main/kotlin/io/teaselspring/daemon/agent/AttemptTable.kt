/*
 * The attempts of an agent from offer to final message, with at-most-once execution and usage metering. The final
 * message of every attempt is chosen here, so that NotRun is sent from one place and only if the request did not run.
 * Offers are admitted by bytes; messages that take no memory, such as cancellations, are always handled.
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
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.agent")

/** Bounds the memory for withdrawn keys; the oldest are evicted first. */
private const val MAX_WITHDRAWN_KEYS = 100_000

/** Starts a run of an attempt on the upstream; the run sends [AgentEvent.RunEnded] when it ends. */
internal typealias StartRun = (Attempt) -> Job

/** Sends the last message on an attempt to its entry. */
internal typealias SendToEntry = (EntrySession, Message) -> Unit

private fun RunResult.label() = (this::class.simpleName ?: "unknown").lowercase()

/** The attempts of one agent. Not thread-safe; confined to the agent's event loop. */
internal class AttemptTable(
    private val settings: AgentSettings,
    private val scheduler: AgentScheduler,
    private val dependencies: AgentDependencies,
    private val startRun: StartRun,
    private val sendToEntry: SendToEntry,
) {
    private val nowMs = dependencies.nowMs
    private val attempts = HashMap<AttemptId, Attempt>()
    private val runRecord = RunRecord()
    private val withdrawnKeys = LinkedHashSet<KeyId>()
    private val sequences = HashMap<Incarnation, Long>()

    /** True once new requests are refused because of a drain. */
    var draining = false
        private set

    val isEmpty: Boolean get() = attempts.isEmpty()

    fun summary(): Map<String, Long> =
        mapOf(
            "attempts" to attempts.size.toLong(),
            "kept_bytes" to dependencies.memory.usedBytes,
            "withdrawn_keys" to withdrawnKeys.size.toLong(),
        )

    fun drain() {
        draining = true
        step(SchedulerEvent.DrainStarted)
    }

    /** Cancels the attempts of an entry whose link has closed. */
    fun handleDisconnect(session: EntrySession) {
        attempts.values.filter { it.session === session }.forEach { attempt ->
            attempt.disableFlowControl()
            cancel(attempt.id)
        }
    }

    /** Cancels [id] for its entry. A plain request that is not idempotent and has started still runs to completion. */
    fun cancel(id: AttemptId) {
        runRecord.recordAbandoned(id, nowMs())
        val attempt = attempts[id]
        if (attempt == null || !attempt.mustRunToCompletion || attempt.starts == 0) cancelInScheduler(id)
    }

    /** Advances the flow-control window of an attempt after its entry has acknowledged chunks. */
    fun acknowledge(message: Message.Received) {
        attempts[AttemptId(message.requestId, message.attempt)]?.acknowledge(message.nextOffset)
    }

    /** Stops the attempts made with these keys and refuses the keys from now on. */
    fun withdrawKeys(keyIds: List<KeyId>) {
        withdrawnKeys += keyIds
        val oldest = withdrawnKeys.iterator()
        while (withdrawnKeys.size > MAX_WITHDRAWN_KEYS) oldest.run { next().also { remove() } }
        step(SchedulerEvent.KeysWithdrawn(keyIds.toSet()))
    }

    /** Handles an offer: refuses it at once or passes it to the scheduler. */
    fun submit(
        session: EntrySession,
        submit: Message.Submit,
    ) {
        val now = nowMs()
        val attempt = Attempt(session, submit, dependencies.memory.Share(submit.organisation))
        val refusal = refusalReason(submit)
        val recordedState = runRecord.stateOf(submit, now)
        when {
            attempt.id in attempts || recordedState == RecordedState.RUN ->
                sendToEntry(session, submit.toFailed("the request id was already run", null))
            recordedState == RecordedState.ABANDONED -> sendToEntry(session, submit.toNotRun(NotRunReason.DUPLICATE))
            recordedState == RecordedState.FULL -> sendToEntry(session, submit.toNotRun(NotRunReason.QUEUE_FULL))
            refusal != null -> sendToEntry(session, submit.toNotRun(refusal))
            !attempt.reserveMemory() -> refuseForMemory(attempt)
            else -> {
                attempts[attempt.id] = attempt
                step(SchedulerEvent.Offered(submit.toOfferedRequest(now)))
            }
        }
    }

    private fun refuseForMemory(attempt: Attempt) {
        val submit = attempt.submit
        dependencies.metrics.recordMemoryRefusal()
        log.info(
            "event=request_refused request={} reason=\"no memory for the body\" body_bytes={} kept_bytes={} " +
                "organisation={}",
            submit.requestId,
            submit.body.size,
            dependencies.memory.usedBytes,
            submit.organisation?.value,
        )
        sendToEntry(attempt.session, submit.toNotRun(NotRunReason.QUEUE_FULL))
    }

    private fun refusalReason(submit: Message.Submit): NotRunReason? {
        val isServed = submit.kind != RequestKind.CHAT || submit.model in settings.models
        return when {
            submit.keyId != null && submit.keyId in withdrawnKeys -> NotRunReason.KEY_WITHDRAWN
            draining -> NotRunReason.DRAINING
            !isServed -> NotRunReason.NOT_SERVED
            else -> null
        }
    }

    private fun cancelInScheduler(id: AttemptId) {
        step(SchedulerEvent.Cancelled(id))
        // The scheduler issues no stop for a queued attempt, so it is removed here; a running one when its run ends.
        attempts[id]?.takeIf { it.job == null }?.let { remove(it) }
    }

    /** Passes [event] to the scheduler and carries out the resulting actions. */
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
            sendToEntry(attempt.session, attempt.submit.toFailed("refused after a preemption", recordUsage(attempt)))
        } else {
            sendToEntry(attempt.session, attempt.submit.toNotRun(action.reason.toNotRunReason(), action.retryAfterMs))
        }
        remove(attempt)
    }

    private fun start(id: AttemptId) {
        val attempt = attempts[id]
        if (attempt == null) {
            // The attempt has ended while the scheduler still held it as preempted.
            step(SchedulerEvent.Ended(id))
            return
        }
        runRecord.recordRun(id, nowMs())
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
            failStopped(attempt, cause)
        }
    }

    /** Handles the end of a run: sends the final message and frees the slot in the scheduler. */
    fun handleRunEnd(
        attempt: Attempt,
        result: RunResult,
    ) {
        attempt.job = null
        val submit = attempt.submit
        dependencies.metrics.recordRunEnd(submit.kind, result.label(), attempt.completionTokens)
        when (result) {
            RunResult.Complete -> {
                val usage = recordUsage(attempt)
                sendFinal(attempt, Message.Finished(submit.requestId, submit.attempt, attempt.nextOffset, usage))
            }
            is RunResult.Broken -> sendFinal(attempt, submit.toFailed(result.detail, recordUsage(attempt)))
            is RunResult.NotSent -> handleNotSent(attempt, NotRunReason.UPSTREAM_DOWN, DEFAULT_RETRY_AFTER_MS)
            is RunResult.RefusedByUpstream -> handleRefused(attempt, result.retryAfterMs)
            RunResult.Stopped -> {
                val cause = attempt.stopCause ?: StopCause.CANCELLED
                if (cause != StopCause.PREEMPTED) failStopped(attempt, cause)
            }
        }
        step(SchedulerEvent.Ended(attempt.id, completed = result == RunResult.Complete))
    }

    private fun handleRefused(
        attempt: Attempt,
        retryAfterMs: Long,
    ) {
        val load = scheduler.load(nowMs())
        val reason = if (load.draining) NotRunReason.DRAINING else NotRunReason.QUEUE_FULL
        handleNotSent(attempt, reason, maxOf(retryAfterMs, load.pausedForMs))
    }

    private fun handleNotSent(
        attempt: Attempt,
        reason: NotRunReason,
        retryAfterMs: Long,
    ) {
        if (attempt.startedSent || attempt.starts > 1) {
            sendFinal(attempt, attempt.submit.toFailed("the upstream is not reachable", recordUsage(attempt)))
        } else {
            runRecord.undoRun(attempt.id)
            sendFinal(attempt, attempt.submit.toNotRun(reason, retryAfterMs))
        }
    }

    private fun failStopped(
        attempt: Attempt,
        cause: StopCause,
    ) {
        val usage = recordUsage(attempt)
        val isWithdrawn = cause == StopCause.KEY_WITHDRAWN
        sendFinal(attempt, attempt.submit.toFailed("stopped: ${cause.name.lowercase()}", usage, isWithdrawn))
    }

    private fun sendFinal(
        attempt: Attempt,
        message: Message,
    ) {
        remove(attempt)
        sendToEntry(attempt.session, message)
    }

    private fun remove(attempt: Attempt) {
        attempts.remove(attempt.id)
        attempt.releaseMemory()
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
            finishedAtMs = dependencies.clock.now().toEpochMilliseconds(),
        ).also { dependencies.usage.record(entry, it) }
    }
}
