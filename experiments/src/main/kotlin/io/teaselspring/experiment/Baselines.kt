/*
 * Baselines: round robin, least connections, and one queue in order of arrival. They run on the same agents, whose
 * scheduler sees one class, one tier and one organisation and so serves in order of arrival with the same batch
 * limit. They know at once which agents are alive and how much work each has, which no real balancer does.
 */
package io.teaselspring.experiment

import io.teaselspring.core.ClassName
import io.teaselspring.core.admission.OfferedRequest

fun roundRobin(run: Run): Router {
    val next = HashMap<String, Int>()
    return BaselineRouter(run) { candidates, _ ->
        candidates[next.merge(candidates.first().upstreamName.value, 1, Int::plus)!! % candidates.size]
    }
}

fun leastConnections(run: Run): Router =
    BaselineRouter(run) { candidates, connections -> candidates.minBy { connections[it] ?: 0 } }

/** Picks one of the candidates, given the requests that each agent has. */
private typealias Pick = (candidates: List<FakeAgent>, connections: Map<FakeAgent, Int>) -> FakeAgent

/** Sends each request on at once, and to another agent if it certainly did not run. */
private class BaselineRouter(
    private val run: Run,
    private val pick: Pick,
) : Router {
    private val connections = HashMap<FakeAgent, Int>()

    override fun submit(outcome: Outcome) = attempt(outcome, 1)

    private fun attempt(
        outcome: Outcome,
        attempt: Int,
    ) {
        val candidates = run.agents.filter { it.alive && it.upstreamName == outcome.job.profile.upstream }
        if (candidates.isEmpty() || attempt > MAX_ATTEMPTS) {
            outcome.refused = true
            return
        }
        val agent = pick(candidates, connections)
        connections.merge(agent, 1, Int::plus)
        send(run, agent, outcome, attempt) { repeat ->
            connections.merge(agent, -1, Int::plus)
            if (repeat) attempt(outcome, attempt + 1)
        }
    }
}

/** Sends [outcome]'s request; [onEnd] gets whether it may be sent again. */
private fun send(
    run: Run,
    agent: FakeAgent,
    outcome: Outcome,
    attempt: Int,
    onEnd: (repeat: Boolean) -> Unit,
) {
    agent.submit(offerWithoutClass(outcome.job, attempt), outcome.job, 0) { reply, _ ->
        when (reply) {
            Reply.Accepted -> Unit
            is Reply.Progress -> outcome.token(reply.offset, run.loop.nowMs)
            Reply.Finished -> {
                outcome.completedMs = run.loop.nowMs
                onEnd(false)
            }
            is Reply.NotRun, Reply.NotSent -> onEnd(true)
            is Reply.Lost -> {
                // A stream of which the caller has seen nothing is sent again; a call may have run, so it is not.
                val repeat = !reply.expired && outcome.received == 0 && !outcome.job.profile.plain
                if (!repeat) outcome.failed = true
                onEnd(repeat)
            }
        }
    }
}

private fun offerWithoutClass(
    job: Job,
    attempt: Int,
): OfferedRequest =
    offerOf(job, attempt, displace = false).copy(
        organisation = null,
        serviceClass = ClassName("all"),
        tier = 1,
        classWeight = 1,
        firstTokenDeadlineMs = Long.MAX_VALUE / 4,
    )

/** One queue for each upstream; the head goes to the agent with most room as soon as one has a free slot. */
fun firstComeFirstServed(run: Run): Router {
    val queues = run.agents.groupBy { it.upstreamName }.mapValues { (_, agents) -> CentralQueue(run, agents) }
    return Router { queues.getValue(it.job.profile.upstream).submit(it) }
}

private class CentralQueue(
    private val run: Run,
    private val agents: List<FakeAgent>,
) : Router {
    private class Waiting(
        val outcome: Outcome,
        val attempt: Int,
    )

    private val queue = ArrayDeque<Waiting>()
    private val sent = HashMap<FakeAgent, Int>()
    private var retrying = false

    override fun submit(outcome: Outcome) {
        queue.addLast(Waiting(outcome, 1))
        pump()
    }

    private fun room(agent: FakeAgent) = if (agent.alive) agent.load.limit - (sent[agent] ?: 0) else 0

    private fun pump() {
        while (queue.isNotEmpty()) {
            val next = queue.first()
            val profile = next.outcome.job.profile
            if (run.loop.nowMs >= next.outcome.job.arrivalMs + profile.deadlineMs || next.attempt > MAX_ATTEMPTS) {
                queue.removeFirst().outcome.refused = true
                continue
            }
            val agent = agents.maxBy(::room)
            if (room(agent) <= 0) return retryLater()
            queue.removeFirst()
            sent.merge(agent, 1, Int::plus)
            send(run, agent, next.outcome, next.attempt) { repeat ->
                sent.merge(agent, -1, Int::plus)
                if (repeat) queue.addFirst(Waiting(next.outcome, next.attempt + 1))
                pump()
            }
        }
    }

    /** Looks again soon: a batch limit may have grown or an agent may be back. */
    private fun retryLater() {
        if (retrying) return
        retrying = true
        run.loop.after(RETRY_US) {
            retrying = false
            pump()
        }
    }

    private companion object {
        const val RETRY_US = 50_000L
    }
}

private const val MAX_ATTEMPTS = 3

val allPolicies =
    listOf(
        Policy("teaselspring", ::teaselspring),
        Policy("round_robin", ::roundRobin),
        Policy("least_connections", ::leastConnections),
        Policy("first_come_first_served", ::firstComeFirstServed),
    )
