/*
 * The policy under test: entries that use the real dispatch, choice, straggler detection and retry budget. Load
 * reports arrive with the responses, at most 3 s apart, and later by the lag of the scenario.
 */
package io.teaselspring.experiment

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.ModelName
import io.teaselspring.core.admission.RefusalReason
import io.teaselspring.core.admission.SchedulerLoad
import io.teaselspring.core.choice.AgentView
import io.teaselspring.core.choice.ChoiceRequest
import io.teaselspring.core.choice.StragglerDetector
import io.teaselspring.core.choice.UnreportedRequests
import io.teaselspring.core.choice.chooseAgent
import io.teaselspring.core.dispatch.Dispatch
import io.teaselspring.core.dispatch.DispatchAction
import io.teaselspring.core.dispatch.DispatchEvent
import io.teaselspring.core.dispatch.DispatchRequest
import io.teaselspring.core.dispatch.NotRunCause
import io.teaselspring.core.retry.RetryBudget
import kotlin.random.Random

private val model = ModelName("model")

/** One entry per data centre and one more; the platform's load balancer picks one at random. */
fun teaselspring(run: Run): Router {
    val entries =
        List(run.dataCentres.size + 1) { index ->
            TeaselspringEntry(run, run.dataCentres[index % run.dataCentres.size], Random(run.seed + index))
        }
    val random = Random(run.seed * 31 + 7)
    return Router { entries[random.nextInt(entries.size)].submit(it) }
}

private class KnownAgent(
    val agent: FakeAgent,
    var view: AgentView,
) {
    val own = UnreportedRequests()
}

private class TeaselspringEntry(
    private val run: Run,
    private val localDataCentre: DataCentre,
    private val random: Random,
) : Router {
    private val loop = run.loop
    private val known = LinkedHashMap<InstanceId, KnownAgent>()
    private val stragglers = StragglerDetector()
    private val budget = RetryBudget()

    init {
        run.agents.forEach { agent ->
            val models = if (agent.upstream is FakeEngine) setOf(model) else emptySet()
            val view = AgentView(agent.instance, agent.dataCentre, agent.upstreamName, models, connected = true)
            known[agent.instance] = KnownAgent(agent, view).also { reported(it, agent.load, 0) }
            pollReports(agent.instance)
        }
    }

    private fun pollReports(instance: InstanceId) {
        loop.after(REPORT_US) {
            val entry = known.getValue(instance)
            entry.view = entry.view.copy(connected = entry.agent.alive)
            if (entry.agent.alive) receive(entry, entry.agent.load)
            pollReports(instance)
        }
    }

    private fun receive(
        entry: KnownAgent,
        load: SchedulerLoad,
    ) {
        val takenAtUs = loop.nowUs - FakeAgent.LINK_US
        if (run.reportLagMs == 0L) {
            reported(entry, load, takenAtUs)
        } else {
            loop.after(run.reportLagMs * 1000) { reported(entry, load, takenAtUs) }
        }
    }

    private fun reported(
        entry: KnownAgent,
        load: SchedulerLoad,
        takenAtUs: Long,
    ) {
        entry.own.recordReport((takenAtUs - FakeAgent.LINK_US) / 1000)
        entry.view =
            entry.view.copy(
                running = load.running,
                queued = load.queued,
                limit = load.limit,
                lowestTier = load.lowestTier,
                firstTokenEstimateMs = load.firstTokenEstimateMs,
                draining = load.draining,
                reportedAtMs = takenAtUs / 1000,
                sentSinceReport = entry.own.sinceReport,
            )
    }

    override fun submit(outcome: Outcome) {
        val job = outcome.job
        val request =
            ChoiceRequest(
                upstream = job.profile.upstream,
                model = if (job.profile.plain) null else model,
                tier = job.profile.tier,
                prefixHash = if (job.profile.plain) null else job.prefix,
            )
        val dispatch =
            Dispatch(
                DispatchRequest(
                    tier = job.profile.tier,
                    idempotent = false,
                    resumable = !job.profile.plain,
                    deadlineMs = job.arrivalMs + job.profile.deadlineMs,
                ),
                choose = { tried, displace, nowMs -> choose(request.copy(displace = displace), tried, nowMs) },
                spendRetry = { budget.spend(job.organisation, loop.nowMs) },
            )
        DispatchedRequest(outcome, dispatch).apply(dispatch.step(DispatchEvent.Begin, loop.nowMs))
    }

    private fun choose(
        request: ChoiceRequest,
        tried: Set<InstanceId>,
        nowMs: Long,
    ): InstanceId? {
        val views = known.values.map { stragglers.annotate(it.view) }
        return chooseAgent(views, request, localDataCentre, tried, nowMs, random::nextInt)
    }

    /** One request on its way through the dispatch state machine. */
    private inner class DispatchedRequest(
        private val outcome: Outcome,
        private val dispatch: Dispatch,
    ) {
        private var attempt = 0
        private var attemptAtMs = 0L
        private var tokensAtMs: Long? = null
        private var intervalSumMs = 0L
        private var intervals = 0

        fun apply(action: DispatchAction) {
            when (action) {
                is DispatchAction.Offer -> offer(action)
                is DispatchAction.Refuse -> outcome.refused = true
                is DispatchAction.FailUnknown -> outcome.failed = true
                DispatchAction.Complete -> {
                    outcome.completedMs = loop.nowMs
                    budget.succeeded(outcome.job.organisation, loop.nowMs)
                }
                DispatchAction.Wait, DispatchAction.CancelAttempt -> Unit
            }
        }

        private fun offer(offer: DispatchAction.Offer) {
            val entry = known.getValue(offer.agent)
            attempt = offer.attempt
            attemptAtMs = loop.nowMs
            tokensAtMs = null
            entry.own.recordSent(loop.nowMs)
            entry.view = entry.view.copy(sentSinceReport = entry.own.sinceReport)
            stragglers.recordOffer(offer.agent, loop.nowMs)
            val request = offerOf(outcome.job, offer.attempt, offer.displace)
            entry.agent.submit(request, outcome.job, offer.resumeOffset.toInt()) { reply, load ->
                if (reply.ends) entry.own.recordEnded(loop.nowMs)
                if (load != null) receive(entry, load)
                if (!entry.agent.alive) entry.view = entry.view.copy(connected = false)
                if (offer.attempt == attempt) received(reply, entry)
            }
        }

        private fun received(
            reply: Reply,
            entry: KnownAgent,
        ) {
            val nowMs = loop.nowMs
            val event =
                when (reply) {
                    Reply.Accepted -> DispatchEvent.Accepted
                    is Reply.NotRun -> DispatchEvent.NotRun(causeOf(reply.reason), reply.retryAfterMs)
                    is Reply.Progress -> {
                        outcome.token(reply.offset, nowMs)
                        observe(entry, nowMs)
                        DispatchEvent.Progress(reply.offset.toLong())
                    }
                    Reply.Finished -> DispatchEvent.Finished(outcome.job.tokens.toLong())
                    Reply.NotSent -> DispatchEvent.NotSent
                    is Reply.Lost -> DispatchEvent.Lost
                }
            apply(dispatch.step(event, nowMs))
        }

        /** Feeds the straggler detector with averages over some tokens; a pause by preemption counts as little. */
        private fun observe(
            entry: KnownAgent,
            nowMs: Long,
        ) {
            val last = tokensAtMs
            tokensAtMs = nowMs
            if (last == null) {
                if (outcome.received <= 1) {
                    stragglers.recordFirstToken(entry.agent.instance, (nowMs - attemptAtMs).toDouble(), nowMs)
                }
                return
            }
            intervalSumMs += minOf(nowMs - last, MAX_INTERVAL_MS)
            intervals += 1
            if (intervals < OBSERVED_INTERVALS) return
            stragglers.recordTokenInterval(entry.agent.instance, intervalSumMs.toDouble() / intervals, nowMs)
            intervals = 0
            intervalSumMs = 0
        }
    }

    private companion object {
        const val REPORT_US = 3_000_000L
        const val OBSERVED_INTERVALS = 4
        const val MAX_INTERVAL_MS = 500L
    }
}

private fun causeOf(reason: RefusalReason): NotRunCause =
    when (reason) {
        RefusalReason.DISPLACED -> NotRunCause.DISPLACED
        RefusalReason.DRAINING, RefusalReason.UPSTREAM_DOWN -> NotRunCause.UNAVAILABLE
        RefusalReason.KEY_WITHDRAWN -> NotRunCause.KEY_WITHDRAWN
        RefusalReason.TOO_LATE, RefusalReason.QUEUE_FULL, RefusalReason.DUPLICATE, RefusalReason.EXPIRED,
        RefusalReason.UPSTREAM_PAUSED,
        ->
            NotRunCause.BUSY
    }
