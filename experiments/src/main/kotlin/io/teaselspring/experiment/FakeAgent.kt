/*
 * An agent process in the experiment: the real scheduler in front of a fake upstream. All policies use it; baselines
 * give it one class, so that they have the same admission to the batch.
 */
package io.teaselspring.experiment

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.admission.AgentScheduler
import io.teaselspring.core.admission.AttemptId
import io.teaselspring.core.admission.OfferedRequest
import io.teaselspring.core.admission.RefusalReason
import io.teaselspring.core.admission.SchedulerAction
import io.teaselspring.core.admission.SchedulerEvent
import io.teaselspring.core.admission.SchedulerLoad
import io.teaselspring.core.admission.SchedulerPolicy
import io.teaselspring.core.admission.StopCause

/** What an agent tells an entry about an attempt. */
sealed interface Reply {
    /** Whether the agent is done with the attempt. */
    val ends: Boolean get() = this is NotRun || this is Finished || this is Lost || this is NotSent

    data object Accepted : Reply

    data class NotRun(
        val reason: RefusalReason,
        val retryAfterMs: Long,
    ) : Reply

    /** Tokens up to [offset] have been produced. */
    data class Progress(
        val offset: Int,
    ) : Reply

    data object Finished : Reply

    /** There was no process to connect to. */
    data object NotSent : Reply

    /** The attempt was stopped, or the connection is lost. */
    data class Lost(
        val expired: Boolean,
    ) : Reply
}

/** Receives replies; the load is the agent's at the time of the reply. */
typealias OnReply = (reply: Reply, load: SchedulerLoad?) -> Unit

class FakeAgent(
    private val loop: EventLoop,
    val instance: InstanceId,
    val upstreamName: UpstreamName,
    val dataCentre: DataCentre,
    plain: Boolean,
) {
    private class Running(
        val job: Job,
        val reply: OnReply,
        var offset: Int,
    )

    private val policy = SchedulerPolicy(if (plain) SERVICE_SLOTS else ENGINE_SLOTS)
    private var scheduler = AgentScheduler(policy)
    private val attempts = HashMap<AttemptId, Running>()
    private var ticking = false

    /** Tokens that were produced before for a response and had to be read again. */
    var repeatedTokens = 0.0
        private set
    val upstream: FakeUpstream =
        if (plain) FakeService(loop, ::onProgress) else FakeEngine(loop, ::onProgress)
    var alive = true
        private set
    var draining = false
        private set
    private var aliveSinceUs = 0L
    private var aliveUs = 0L

    /** Time for which the instance has run and cost money. */
    val paidMs: Long get() = (aliveUs + if (alive) loop.nowUs - aliveSinceUs else 0) / 1000

    val load: SchedulerLoad get() = scheduler.load(loop.nowMs)

    /** Offers a request; replies come back after the time on the link. */
    fun submit(
        request: OfferedRequest,
        job: Job,
        resumeOffset: Int,
        reply: OnReply,
    ) {
        if (alive) loop.after(LINK_US) { arrived(request, job, resumeOffset, reply) } else send(reply, Reply.NotSent)
    }

    private fun arrived(
        request: OfferedRequest,
        job: Job,
        resumeOffset: Int,
        reply: OnReply,
    ) {
        if (alive) {
            attempts[request.id] = Running(job, reply, resumeOffset)
            step(SchedulerEvent.Offered(request))
            tick()
        } else {
            send(reply, Reply.Lost(expired = false))
        }
    }

    /** Takes no new work, finishes what it has, and stops. */
    fun drain() {
        draining = true
        step(SchedulerEvent.DrainStarted)
        stopWhenDrained()
    }

    private fun stopWhenDrained() {
        if (attempts.isEmpty()) crash() else loop.after(TICK_US) { stopWhenDrained() }
    }

    /** The process and its upstream end; connections break at once. */
    fun crash() {
        if (alive) aliveUs += loop.nowUs - aliveSinceUs
        alive = false
        upstream.stopAll()
        attempts.values.toList().forEach { send(it.reply, Reply.Lost(expired = false)) }
        attempts.clear()
    }

    /** A new process takes the place of the crashed one. */
    fun restart() {
        alive = true
        draining = false
        aliveSinceUs = loop.nowUs
        scheduler = AgentScheduler(policy)
    }

    private fun tick() {
        if (ticking) return
        ticking = true
        loop.after(TICK_US) {
            ticking = false
            if (alive && attempts.isNotEmpty()) {
                step(SchedulerEvent.Tick)
                tick()
            }
        }
    }

    private fun onProgress(
        id: AttemptId,
        tokens: Int,
        last: Boolean,
    ) {
        val running = attempts[id] ?: return
        running.offset += tokens
        if (tokens > 0) {
            step(SchedulerEvent.TokensProduced(id, tokens))
            send(running.reply, Reply.Progress(running.offset))
        }
        if (last) {
            attempts.remove(id)
            step(SchedulerEvent.Ended(id, completed = true))
            send(running.reply, Reply.Finished)
        }
    }

    private fun step(event: SchedulerEvent) {
        for (action in scheduler.step(event, loop.nowMs)) apply(action)
    }

    private fun apply(action: SchedulerAction) {
        when (action) {
            is SchedulerAction.Accept -> attempts[action.id]?.let { send(it.reply, Reply.Accepted) }
            is SchedulerAction.Refuse ->
                attempts.remove(action.id)?.let { send(it.reply, Reply.NotRun(action.reason, action.retryAfterMs)) }
            is SchedulerAction.Start -> {
                val running = attempts.getValue(action.id)
                repeatedTokens += running.offset * FakeEngine.PROMPT_TOKEN_SHARE
                upstream.start(Work(action.id, running.job, running.offset))
            }
            is SchedulerAction.Stop -> stop(action)
        }
    }

    private fun stop(action: SchedulerAction.Stop) {
        upstream.stop(action.id)
        if (action.cause != StopCause.PREEMPTED) {
            val running = attempts.remove(action.id)
            running?.let { send(it.reply, Reply.Lost(expired = action.cause == StopCause.EXPIRED)) }
        }
        loop.after(0) { step(SchedulerEvent.Ended(action.id)) }
    }

    private fun send(
        reply: OnReply,
        message: Reply,
    ) {
        // A report rides on every response except the many that carry tokens only.
        val report = if (alive && message !is Reply.Progress) load else null
        loop.after(LINK_US) { reply(message, report) }
    }

    companion object {
        /** One way between two processes in one region. */
        const val LINK_US = 1000L
        const val TICK_US = 50_000L
        const val ENGINE_SLOTS = 64
        const val SERVICE_SLOTS = 8
    }
}
