/*
 * Admission control, queue order, load shedding and preemption for one upstream. The scheduler is a deterministic state
 * machine without I/O: the agent passes in events with the current monotonic time and executes the returned actions.
 *
 * Tiers have strict priority. Within a tier, classes are served by weighted fair queueing and first-token deadline;
 * within a class, organisations are served by virtual token counters. A request whose predicted wait misses its
 * first-token deadline is refused on arrival. An upstream that has said it is leaving, or wants a pause, gets nothing.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.KeyId
import io.teaselspring.core.registry.Availability
import io.teaselspring.core.registry.StatedAvailability
import java.util.TreeSet

/** Schedules the requests of one agent. Not thread-safe: the agent calls it from one coroutine. */
public class AgentScheduler(
    private val policy: SchedulerPolicy,
) {
    private val classes = ClassStates()
    private val prediction = WaitPrediction(classes, policy.floorSharePct)
    private val floorCredit = FloorCredit(policy.floorSharePct)
    private val batchLimit = BatchLimit(policy.maxRunning)
    private val deduplicator = AttemptDeduplicator(policy.dedupWindowMs)
    private val attempts = HashMap<AttemptId, Attempt>()
    private val running = LinkedHashMap<AttemptId, Attempt>()
    private val byDeadline = TreeSet(compareBy<Attempt>({ it.request.deadlineMs }, { it.sequence }))
    private val precheck = AdmissionPrecheck(deduplicator)
    private val deadlineCheck = FirstTokenDeadlineCheck(prediction, running.values, ::freeSlots)
    private var nextSequence = 0L

    /** Applies [event] at [nowMs], which must not decrease between calls, and returns the actions to execute. */
    public fun step(
        event: SchedulerEvent,
        nowMs: Long,
    ): List<SchedulerAction> {
        val actions = mutableListOf<SchedulerAction>()
        expire(nowMs, actions)
        when (event) {
            is SchedulerEvent.Offered -> handleOffer(event.request, nowMs, actions)
            is SchedulerEvent.Cancelled -> cancel(event.id, nowMs, actions)
            is SchedulerEvent.TokensProduced -> recordTokens(event, nowMs)
            is SchedulerEvent.Ended -> handleEnd(event, nowMs)
            is SchedulerEvent.KeysWithdrawn -> withdrawKeys(event.keyIds, nowMs, actions)
            is SchedulerEvent.UpstreamReachable -> setReachable(event.reachable, nowMs, actions)
            is SchedulerEvent.UpstreamStated -> recordStatement(event, nowMs)
            SchedulerEvent.UpstreamRestarted -> precheck.stated = StatedAvailability()
            SchedulerEvent.DrainStarted -> precheck.draining = true
            SchedulerEvent.Tick -> refuseLate(nowMs, actions)
        }
        refuseUnwanted(nowMs, actions)
        startQueued(nowMs, actions)
        return actions
    }

    public fun load(nowMs: Long): SchedulerLoad {
        val lowestTier = classes.lowestActiveTier
        val wait = prediction.waitBehind(classes.queued, lowestTier ?: 1, freeSlots(), nowMs)
        val firstToken = lowestTier?.let { tier -> classes.tiers.getValue(tier).maxOf { it.times.firstTokenMs(nowMs) } }
        return SchedulerLoad(
            running = running.size,
            queued = classes.queued,
            limit = batchLimit.value,
            lowestTier = lowestTier,
            firstTokenEstimateMs = (wait.meanMs + (firstToken ?: 0.0)).toLong(),
            draining = precheck.draining || precheck.stated.at(nowMs) == Availability.LEAVING,
            availability = precheck.stated.at(nowMs),
            pausedForMs = pausedForMs(nowMs),
        )
    }

    /** Time until the end of the upstream's pause; 0 if it wants none. */
    public fun pausedForMs(nowMs: Long): Long = maxOf(0, precheck.stated.pausedUntilMs - nowMs)

    private fun freeSlots() = batchLimit.value - running.size

    private fun handleOffer(
        request: OfferedRequest,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        val reason = precheck.refusalReason(request, nowMs)
        if (reason != null) {
            val isPaused = reason == RefusalReason.UPSTREAM_PAUSED
            val retryAfterMs = if (isPaused) pausedForMs(nowMs) else NON_CAPACITY_RETRY_AFTER_MS
            actions += SchedulerAction.Refuse(request.id, reason, retryAfterMs)
            return
        }
        val state = classes.activate(request)
        val wait = prediction.waitOf(request, state, freeSlots(), nowMs)
        val late = deadlineCheck.missesDeadline(request, state, wait, nowMs)
        val full = classes.queued >= policy.maxQueued && wait.releases > 0
        val victims = if (late && request.displace) deadlineCheck.victimsFor(request, state, nowMs) else emptyList()
        val evictionVictim = if (full && request.displace) evictionCandidate(classes, request.tier) else null
        when {
            late && victims.isEmpty() ->
                actions += deadlineCheck.refusal(request, RefusalReason.TOO_LATE, state, wait, nowMs)
            full && evictionVictim == null && victims.size < wait.releases ->
                actions += deadlineCheck.refusal(request, RefusalReason.QUEUE_FULL, state, wait, nowMs)
            else -> {
                evictionVictim?.let { refuseQueued(it, RefusalReason.DISPLACED, nowMs, actions) }
                victims.forEach { stop(it, StopCause.PREEMPTED, actions) }
                enqueue(request, state, actions)
            }
        }
    }

    private fun enqueue(
        request: OfferedRequest,
        state: ClassState,
        actions: MutableList<SchedulerAction>,
    ) {
        val attempt = Attempt(request, nextSequence++, state)
        attempts[request.id] = attempt
        byDeadline += attempt
        state.enqueue(attempt)
        actions += SchedulerAction.Accept(request.id)
    }

    private fun cancel(
        id: AttemptId,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        deduplicator.add(id, nowMs)
        val attempt = attempts[id] ?: return
        if (attempt.phase == Phase.QUEUED && !attempt.hasStarted) {
            remove(attempt)
        } else {
            stop(attempt, StopCause.CANCELLED, actions)
        }
    }

    private fun recordTokens(
        event: SchedulerEvent.TokensProduced,
        nowMs: Long,
    ) {
        val attempt = running[event.id] ?: return
        if (event.count <= 0) return
        val last = attempt.lastTokenAtMs
        if (last == null) {
            if (attempt.producedTokens == 0L) attempt.state.times.recordFirstToken(nowMs - attempt.startedAtMs, nowMs)
        } else {
            val intervalMs = (nowMs - last).toDouble() / event.count
            batchLimit.observe(intervalMs, attempt.request.betweenTokensTargetMs, event.count, running.size, nowMs)
        }
        attempt.lastTokenAtMs = nowMs
        attempt.state.chargeProduced(attempt, event.count)
    }

    private fun handleEnd(
        event: SchedulerEvent.Ended,
        nowMs: Long,
    ) {
        val attempt = running.remove(event.id) ?: return
        val resumes = attempt.stopCause == StopCause.PREEMPTED && !event.completed
        attempt.state.release(attempt, nowMs, completed = event.completed || attempt.stopCause == null)
        attempt.stopCause = null
        if (resumes) attempt.state.enqueue(attempt) else remove(attempt)
    }

    private fun withdrawKeys(
        keyIds: Set<KeyId>,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        precheck.withdraw(keyIds)
        for (attempt in attempts.values.filter { it.request.keyId in keyIds }.sortedBy { it.sequence }) {
            terminate(attempt, RefusalReason.KEY_WITHDRAWN, StopCause.KEY_WITHDRAWN, nowMs, actions)
        }
    }

    private fun recordStatement(
        event: SchedulerEvent.UpstreamStated,
        nowMs: Long,
    ) {
        if (event.isLeaving) precheck.stated.recordLeaving()
        event.pause?.let { precheck.stated.recordPause(it, nowMs) }
    }

    /** Refuses what is queued for an upstream that is leaving, or whose pause ends too late for it. */
    private fun refuseUnwanted(
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        val availability = precheck.stated.at(nowMs)
        if (availability == Availability.OPEN) return
        val isLeaving = availability == Availability.LEAVING
        val reason = if (isLeaving) RefusalReason.DRAINING else RefusalReason.UPSTREAM_PAUSED
        val queued = attempts.values.filter { it.phase == Phase.QUEUED }
        for (attempt in queued.filter { isLeaving || isTooLateAfterPause(it) }.sortedBy { it.sequence }) {
            if (attempt.hasStarted) {
                stop(attempt, StopCause.UPSTREAM_UNWILLING, actions)
            } else {
                remove(attempt)
                actions += SchedulerAction.Refuse(attempt.request.id, reason, pausedForMs(nowMs))
            }
        }
    }

    private fun isTooLateAfterPause(attempt: Attempt): Boolean {
        val endMs = precheck.stated.pausedUntilMs
        val misses = !attempt.hasStarted && deadlineCheck.isTooLateToStart(attempt, endMs)
        return misses || attempt.request.deadlineMs <= endMs
    }

    private fun setReachable(
        reachable: Boolean,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        precheck.reachable = reachable
        if (reachable) return
        for (attempt in attempts.values.filter { it.phase == Phase.QUEUED }.sortedBy { it.sequence }) {
            // Starting a preempted attempt fails, which tells the entry to resume the stream on another agent.
            // It must not reach an upstream that has only missed its health checks and wants no requests.
            if (attempt.hasStarted && precheck.stated.at(nowMs) != Availability.OPEN) {
                stop(attempt, StopCause.UPSTREAM_UNWILLING, actions)
            } else if (attempt.hasStarted) {
                start(attempt, nowMs, actions)
            } else {
                refuseQueued(attempt, RefusalReason.UPSTREAM_DOWN, nowMs, actions)
            }
        }
    }

    private fun expire(
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        while (byDeadline.isNotEmpty() && byDeadline.first().request.deadlineMs <= nowMs) {
            terminate(byDeadline.first(), RefusalReason.EXPIRED, StopCause.EXPIRED, nowMs, actions)
        }
    }

    /** Refuses [attempt] if it has never started, and stops it otherwise. */
    private fun terminate(
        attempt: Attempt,
        reason: RefusalReason,
        cause: StopCause,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        byDeadline.remove(attempt)
        if (attempt.hasStarted) stop(attempt, cause, actions) else refuseQueued(attempt, reason, nowMs, actions)
    }

    /**
     * Refuses queued attempts that are about to miss their first-token deadline, or preempts a running one for them.
     * Where a lower tier exists this happens [DISPLACEMENT_MARGIN_MS] early, so that lower-tier work can still be
     * displaced: on this agent if the offer allows it, otherwise in the displacing pass of the entry.
     */
    private fun refuseLate(
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        if (freeSlots() > 0 && mayStart(nowMs)) return
        for (state in classes.all()) {
            val marginMs = if (state.tier < classes.tiers.lastKey()) DISPLACEMENT_MARGIN_MS else 0
            val startMs = nowMs + marginMs
            var first = state.neverStarted.firstOrNull()
            while (first != null && deadlineCheck.isTooLateToStart(first, startMs)) {
                if (!preemptOrRefuse(first, nowMs, actions)) break
                first = state.neverStarted.firstOrNull()
            }
        }
    }

    /** Refuses [late] and returns true, or keeps it queued and returns false while a slot may be freed for it. */
    private fun preemptOrRefuse(
        late: Attempt,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ): Boolean {
        val candidates =
            if (late.request.displace) {
                preemptionCandidates(running.values, late.request.tier)
            } else {
                emptyList()
            }
        val victim = candidates.firstOrNull()
        if (victim == null) {
            if (late.request.displace && !deadlineCheck.isTooLateToStart(late, nowMs)) return false
            refuseQueued(late, RefusalReason.TOO_LATE, nowMs, actions)
            return true
        }
        if (deadlineCheck.preemptionsInProgress() == 0) stop(victim, StopCause.PREEMPTED, actions)
        return false
    }

    /** Refuses a queued attempt that has never started. */
    private fun refuseQueued(
        attempt: Attempt,
        reason: RefusalReason,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        remove(attempt)
        val wait = prediction.waitOf(attempt.request, attempt.state, freeSlots(), nowMs)
        actions += deadlineCheck.refusal(attempt.request, reason, attempt.state, wait, nowMs)
    }

    private fun remove(attempt: Attempt) {
        if (attempt.phase == Phase.QUEUED) attempt.state.dequeue(attempt)
        attempts.remove(attempt.request.id)
        byDeadline.remove(attempt)
    }

    private fun stop(
        attempt: Attempt,
        cause: StopCause,
        actions: MutableList<SchedulerAction>,
    ) {
        val preemptedBefore = attempt.stopCause == StopCause.PREEMPTED
        if (attempt.phase == Phase.STOPPING && !preemptedBefore) return
        attempt.stopCause = cause
        actions += SchedulerAction.Stop(attempt.request.id, cause)
        if (attempt.phase == Phase.QUEUED) remove(attempt) else attempt.phase = Phase.STOPPING
    }

    /** Whether the upstream may get one more request by what it has said of itself. */
    private fun mayStart(nowMs: Long) = precheck.stated.admits(running.size, batchLimit.value, nowMs)

    private fun startQueued(
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        while (precheck.reachable && freeSlots() > 0 && mayStart(nowMs)) {
            val highest = classes.highestWaitingTier() ?: return
            val byCredit = floorCredit.tierByCredit(classes, prediction, freeSlots(), nowMs)
            val next = classes.nextClass(byCredit ?: highest)?.nextAttempt() ?: return
            if (!next.hasStarted && isTooLateUnlikeOthers(next, nowMs)) {
                refuseQueued(next, RefusalReason.TOO_LATE, nowMs, actions)
                continue
            }
            if (byCredit != null) {
                floorCredit.spend()
            } else {
                floorCredit.earn(next.request.tier, classes.lowestWaitingTier())
            }
            start(next, nowMs, actions)
        }
    }

    /** Whether [attempt] is too late to start while another queued attempt of its class is not. */
    private fun isTooLateUnlikeOthers(
        attempt: Attempt,
        nowMs: Long,
    ) = deadlineCheck.isTooLateToStart(attempt, nowMs) &&
        !deadlineCheck.isTooLateToStart(attempt.state.neverStarted.last(), nowMs)

    private fun start(
        attempt: Attempt,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        attempt.state.start(attempt, nowMs)
        running[attempt.request.id] = attempt
        actions += SchedulerAction.Start(attempt.request.id)
    }

    private companion object {
        /** Retry-after of refusals that do not depend on the capacity of this agent. */
        const val NON_CAPACITY_RETRY_AFTER_MS = 1000L

        /** Time to be refused by every agent, displace lower-tier work and process the prompt. */
        const val DISPLACEMENT_MARGIN_MS = 200L
    }
}
