/*
 * Deadline-based admission control: whether a request can meet its first-token deadline on one agent, and which running
 * attempts to preempt so that it does.
 */
package io.teaselspring.core.admission

/** Checks deadlines by [prediction] for an agent with the [running] attempts and [freeSlots] free slots. */
internal class FirstTokenDeadlineCheck(
    private val prediction: WaitPrediction,
    private val running: Collection<Attempt>,
    private val freeSlots: () -> Int,
) {
    /**
     * Whether [request] is predicted to miss its first-token deadline after [wait]. A displacing offer that can start
     * at once is accepted even if the expected time to first token is too long: every agent has refused it before.
     */
    fun missesDeadline(
        request: OfferedRequest,
        state: ClassState,
        wait: Wait,
        nowMs: Long,
    ): Boolean {
        if (wait.releases == 0 && request.displace) return false
        return nowMs + wait.p99Ms + state.times.firstTokenMs(nowMs) > request.firstTokenDeadlineMs
    }

    /** The smallest set of attempts to preempt so that [request] meets its deadline; empty if none suffices. */
    fun victimsFor(
        request: OfferedRequest,
        state: ClassState,
        nowMs: Long,
    ): List<Attempt> {
        val candidates = preemptionCandidates(running, request.tier)
        val ahead = prediction.startsAhead(request, state)
        for (count in 1..candidates.size) {
            val wait = prediction.waitBehind(ahead, state.tier, freeSlots() + count + preemptionsInProgress(), nowMs)
            if (!missesDeadline(request, state, wait, nowMs)) return candidates.take(count)
        }
        return emptyList()
    }

    fun preemptionsInProgress() = running.count { it.stopCause == StopCause.PREEMPTED }

    /** Whether [attempt] is expected to miss its first-token deadline if it starts at [nowMs]. */
    fun isTooLateToStart(
        attempt: Attempt,
        nowMs: Long,
    ) = nowMs + attempt.state.times.firstTokenMs(nowMs) > attempt.request.firstTokenDeadlineMs

    /** Builds the refusal of [request]; its retry-after is the predicted time to first token, including [wait]. */
    fun refusal(
        request: OfferedRequest,
        reason: RefusalReason,
        state: ClassState,
        wait: Wait,
        nowMs: Long,
    ): SchedulerAction.Refuse {
        val retryAfterMs = wait.meanMs + state.times.firstTokenMs(nowMs)
        return SchedulerAction.Refuse(request.id, reason, maxOf(0L, retryAfterMs.toLong()))
    }
}
