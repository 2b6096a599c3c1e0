/*
 * Admission, order, load shedding and preemption on one upstream. The scheduler is a deterministic state machine: the
 * agent feeds it events with the current monotonic time and carries out the actions it returns. It does no I/O.
 *
 * Tiers are strict. Inside a tier classes share by weight and first-token deadline, inside a class organisations by
 * virtual token counters. A request whose predicted wait misses its first-token deadline is refused at once.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.KeyId
import java.util.TreeSet

/** The scheduler of one agent. Not thread-safe: the agent calls it from one coroutine. */
public class AgentScheduler(
    private val policy: SchedulerPolicy,
) {
    private val classes = ClassShares()
    private val prediction = WaitPrediction(classes, policy.floorSharePct)
    private val floor = FloorCredit(policy.floorSharePct)
    private val limit = BatchLimit(policy.maxRunning)
    private val record = AttemptRecord(policy.recordKeepMs)
    private val attempts = HashMap<AttemptId, Attempt>()
    private val running = LinkedHashMap<AttemptId, Attempt>()
    private val byDeadline = TreeSet(compareBy<Attempt>({ it.request.deadlineMs }, { it.sequence }))
    private val gate = OfferGate(record)
    private val targets = TargetCheck(prediction, running.values, ::freeSlots)
    private var arrivals = 0L

    /** Applies [event] at [nowMs], which never goes back, and returns what to do. */
    public fun step(
        event: SchedulerEvent,
        nowMs: Long,
    ): List<SchedulerAction> {
        val actions = mutableListOf<SchedulerAction>()
        expire(nowMs, actions)
        when (event) {
            is SchedulerEvent.Offered -> offer(event.request, nowMs, actions)
            is SchedulerEvent.Cancelled -> cancel(event.id, nowMs, actions)
            is SchedulerEvent.TokensProduced -> produced(event, nowMs)
            is SchedulerEvent.Ended -> end(event, nowMs)
            is SchedulerEvent.KeysWithdrawn -> withdraw(event.keyIds, nowMs, actions)
            is SchedulerEvent.UpstreamReachable -> changeReachable(event.reachable, nowMs, actions)
            SchedulerEvent.DrainStarted -> gate.draining = true
            SchedulerEvent.Tick -> refuseLate(nowMs, actions)
        }
        fill(nowMs, actions)
        return actions
    }

    /** The load at [nowMs]. */
    public fun load(nowMs: Long): SchedulerLoad {
        val lowestTier = classes.lowestTier
        val wait = prediction.waitBehind(classes.queued, lowestTier ?: 1, freeSlots(), nowMs)
        val firstToken = lowestTier?.let { tier -> classes.tiers.getValue(tier).maxOf { it.times.firstTokenMs(nowMs) } }
        return SchedulerLoad(
            running = running.size,
            queued = classes.queued,
            limit = limit.value,
            lowestTier = lowestTier,
            firstTokenEstimateMs = (wait.meanMs + (firstToken ?: 0.0)).toLong(),
            draining = gate.draining,
        )
    }

    private fun freeSlots() = limit.value - running.size

    private fun offer(
        request: OfferedRequest,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        val reason = gate.refusalOf(request, nowMs)
        if (reason != null) {
            actions += SchedulerAction.Refuse(request.id, reason, SETTLED_RETRY_AFTER_MS)
            return
        }
        val share = classes.activate(request)
        val wait = prediction.waitOf(request, share, freeSlots(), nowMs)
        val late = targets.missesTarget(request, share, wait, nowMs)
        val full = classes.queued >= policy.maxQueued && wait.releases > 0
        val victims = if (late && request.displace) targets.victimsFor(request, share, nowMs) else emptyList()
        val evicted = if (full && request.displace) evictable(classes, request.tier) else null
        when {
            late && victims.isEmpty() -> actions += targets.refusal(request, RefusalReason.TOO_LATE, share, wait, nowMs)
            full && evicted == null && victims.size < wait.releases ->
                actions += targets.refusal(request, RefusalReason.QUEUE_FULL, share, wait, nowMs)
            else -> {
                evicted?.let { drop(it, RefusalReason.DISPLACED, nowMs, actions) }
                victims.forEach { stop(it, StopCause.PREEMPTED, actions) }
                accept(request, share, actions)
            }
        }
    }

    private fun accept(
        request: OfferedRequest,
        share: ClassShare,
        actions: MutableList<SchedulerAction>,
    ) {
        val attempt = Attempt(request, arrivals++, share)
        attempts[request.id] = attempt
        byDeadline += attempt
        share.enqueue(attempt)
        actions += SchedulerAction.Accept(request.id)
    }

    private fun cancel(
        id: AttemptId,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        record.add(id, nowMs)
        val attempt = attempts[id] ?: return
        if (attempt.phase == Phase.QUEUED && !attempt.started) {
            forget(attempt)
        } else {
            stop(attempt, StopCause.CANCELLED, actions)
        }
    }

    private fun produced(
        event: SchedulerEvent.TokensProduced,
        nowMs: Long,
    ) {
        val attempt = running[event.id] ?: return
        if (event.count <= 0) return
        val last = attempt.lastTokenAtMs
        if (last == null) {
            if (attempt.producedTokens == 0L) attempt.share.times.firstToken(nowMs - attempt.startedAtMs, nowMs)
        } else {
            val intervalMs = (nowMs - last).toDouble() / event.count
            limit.observe(intervalMs, attempt.request.betweenTokensTargetMs, event.count, running.size, nowMs)
        }
        attempt.lastTokenAtMs = nowMs
        attempt.share.produced(attempt, event.count)
    }

    private fun end(
        event: SchedulerEvent.Ended,
        nowMs: Long,
    ) {
        val attempt = running.remove(event.id) ?: return
        val resumes = attempt.stopCause == StopCause.PREEMPTED && !event.completed
        attempt.share.release(attempt, nowMs, completed = event.completed || attempt.stopCause == null)
        attempt.stopCause = null
        if (resumes) attempt.share.enqueue(attempt) else forget(attempt)
    }

    private fun withdraw(
        keyIds: Set<KeyId>,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        gate.withdraw(keyIds)
        for (attempt in attempts.values.filter { it.request.keyId in keyIds }.sortedBy { it.sequence }) {
            end(attempt, RefusalReason.KEY_WITHDRAWN, StopCause.KEY_WITHDRAWN, nowMs, actions)
        }
    }

    private fun changeReachable(
        nowReachable: Boolean,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        gate.reachable = nowReachable
        if (nowReachable) return
        for (attempt in attempts.values.filter { it.phase == Phase.QUEUED }.sortedBy { it.sequence }) {
            // The start of a preempted attempt fails, so the entry learns of it and resumes the stream elsewhere.
            if (attempt.started) {
                start(attempt, nowMs, actions)
            } else {
                drop(attempt, RefusalReason.UPSTREAM_DOWN, nowMs, actions)
            }
        }
    }

    private fun expire(
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        while (byDeadline.isNotEmpty() && byDeadline.first().request.deadlineMs <= nowMs) {
            end(byDeadline.first(), RefusalReason.EXPIRED, StopCause.EXPIRED, nowMs, actions)
        }
    }

    /** Ends [attempt] with a refusal if it has never run, and with a stop otherwise. */
    private fun end(
        attempt: Attempt,
        reason: RefusalReason,
        cause: StopCause,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        byDeadline.remove(attempt)
        if (attempt.started) stop(attempt, cause, actions) else drop(attempt, reason, nowMs, actions)
    }

    /**
     * Gives up queued work that is about to miss its first-token target. Where lower tiers exist it is given up early
     * enough to displace them, here if its offer allows it and otherwise by the entry's displacing pass.
     */
    private fun refuseLate(
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        if (freeSlots() > 0) return
        for (share in classes.all()) {
            if (share.fresh.isEmpty()) continue
            val marginMs = if (share.tier < classes.tiers.lastKey()) DISPLACEMENT_MS else 0
            while (share.fresh.isNotEmpty() && targets.isLate(share.fresh.first(), nowMs + marginMs)) {
                if (!rescue(share.fresh.first(), nowMs, actions)) break
            }
        }
    }

    /** Ends the wait of [late] and returns true, or keeps it because a slot is being freed for it. */
    private fun rescue(
        late: Attempt,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ): Boolean {
        val victim = if (late.request.displace) preemptable(running.values, late.request.tier).firstOrNull() else null
        if (victim == null) {
            if (late.request.displace && !targets.isLate(late, nowMs)) return false
            drop(late, RefusalReason.TOO_LATE, nowMs, actions)
            return true
        }
        if (targets.stoppingForPreemption() == 0) stop(victim, StopCause.PREEMPTED, actions)
        return false
    }

    /** Refuses a queued attempt that has never started. */
    private fun drop(
        attempt: Attempt,
        reason: RefusalReason,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        forget(attempt)
        val wait = prediction.waitOf(attempt.request, attempt.share, freeSlots(), nowMs)
        actions += targets.refusal(attempt.request, reason, attempt.share, wait, nowMs)
    }

    private fun forget(attempt: Attempt) {
        if (attempt.phase == Phase.QUEUED) attempt.share.dequeue(attempt)
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
        if (attempt.phase == Phase.QUEUED) forget(attempt) else attempt.phase = Phase.STOPPING
    }

    private fun fill(
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        while (gate.reachable && freeSlots() > 0) {
            val highest = classes.highestWaitingTier() ?: return
            val byCredit = floor.tierByCredit(classes, prediction, freeSlots(), nowMs)
            val next = classes.nextIn(byCredit ?: highest)?.head() ?: return
            if (!next.started && targets.isLate(next, nowMs) && !targets.isLate(next.share.fresh.last(), nowMs)) {
                drop(next, RefusalReason.TOO_LATE, nowMs, actions)
                continue
            }
            if (byCredit != null) floor.spend() else floor.started(next.request.tier, classes.lowestWaitingTier())
            start(next, nowMs, actions)
        }
    }

    private fun start(
        attempt: Attempt,
        nowMs: Long,
        actions: MutableList<SchedulerAction>,
    ) {
        attempt.share.start(attempt, nowMs)
        running[attempt.request.id] = attempt
        actions += SchedulerAction.Start(attempt.request.id)
    }

    private companion object {
        /** Wait named in refusals that no capacity on this agent would change. */
        const val SETTLED_RETRY_AFTER_MS = 1000L

        /** Time to be refused by every agent, displace lower-tier work and read the prompt. */
        const val DISPLACEMENT_MS = 200L
    }
}
