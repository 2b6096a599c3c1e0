/*
 * Whether a request can still meet its first-token target on one agent, and what would have to give way for it.
 */
package io.teaselspring.core.admission

/** Checks by [prediction] for an agent with the attempts [running] and [freeSlots] more. */
internal class TargetCheck(
    private val prediction: WaitPrediction,
    private val running: Collection<Attempt>,
    private val freeSlots: () -> Int,
) {
    /**
     * A request that starts at once is late only by the learned time to the first token; with displace every agent has
     * refused already, so it is taken.
     */
    fun missesTarget(
        request: OfferedRequest,
        share: ClassShare,
        wait: Wait,
        nowMs: Long,
    ): Boolean {
        if (wait.releases == 0 && request.displace) return false
        return nowMs + wait.cautiousMs + share.times.firstTokenMs(nowMs) > request.firstTokenDeadlineMs
    }

    /** The fewest running attempts whose preemption lets [request] meet its target; empty when that is impossible. */
    fun victimsFor(
        request: OfferedRequest,
        share: ClassShare,
        nowMs: Long,
    ): List<Attempt> {
        val candidates = preemptable(running, request.tier)
        val ahead = prediction.startsAhead(request, share)
        for (count in 1..candidates.size) {
            val wait = prediction.waitBehind(ahead, share.tier, freeSlots() + count + stoppingForPreemption(), nowMs)
            if (!missesTarget(request, share, wait, nowMs)) return candidates.take(count)
        }
        return emptyList()
    }

    fun stoppingForPreemption() = running.count { it.stopCause == StopCause.PREEMPTED }

    fun isLate(
        attempt: Attempt,
        nowMs: Long,
    ) = nowMs + attempt.share.times.firstTokenMs(nowMs) > attempt.request.firstTokenDeadlineMs

    /** The refusal of [request] for [reason], with the wait after which it would have had its first token. */
    fun refusal(
        request: OfferedRequest,
        reason: RefusalReason,
        share: ClassShare,
        wait: Wait,
        nowMs: Long,
    ): SchedulerAction.Refuse {
        val retryAfterMs = wait.meanMs + share.times.firstTokenMs(nowMs)
        return SchedulerAction.Refuse(request.id, reason, maxOf(0L, retryAfterMs.toLong()))
    }
}
