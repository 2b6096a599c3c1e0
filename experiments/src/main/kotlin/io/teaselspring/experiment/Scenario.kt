/*
 * A scenario: a deployment, its load over time and the faults, and the run of one policy in it.
 */
package io.teaselspring.experiment

import io.teaselspring.core.OrganisationId

/** Demand of a class as a part of its pool's capacity, at a time. */
typealias Demand = (profile: ClassProfile, member: Member, atMs: Long) -> Double

/** [demand] is summed over the members by their sizes. [faults] schedules what breaks. */
class Scenario(
    val name: String,
    val description: String,
    val deployment: Deployment,
    val durationMs: Long = 300_000,
    val reportLagMs: Long = 0,
    val policies: List<Policy> = allPolicies,
    val faults: (Run) -> Unit = {},
    val demand: Demand,
)

fun Scenario.jobs(seed: Long): List<Job> =
    drawJobs(seed, durationMs, deployment.profiles, deployment.members) { profile, member, atMs ->
        demand(profile, member, atMs) * member.size * deployment.capacityPerSecond(profile)
    }

/** Runs [policy] on [jobs] until all of them have ended. */
fun Scenario.run(
    policy: Policy,
    jobs: List<Job>,
    seed: Long,
): RunResult {
    val loop = EventLoop()
    val run = Run(loop, deployment.pools.flatMap { it.agents(loop) }, seed, reportLagMs, deployment.dataCentres)
    val router = policy.build(run)
    faults(run)
    val outcomes = jobs.map(::Outcome)
    outcomes.forEach { outcome -> loop.at(outcome.job.arrivalMs) { router.submit(outcome) } }
    loop.runUntil(durationMs)
    val cost = deployment.pools.sumOf { pool -> run.agents.filter { it.upstreamName == pool.upstream }.cost(pool) }
    loop.runUntil(durationMs + deployment.profiles.maxOf { it.deadlineMs })
    return RunResult(
        outcomes = outcomes,
        durationMs = durationMs,
        doneTokens = run.agents.sumOf { it.upstream.doneTokens },
        repeatedTokens = run.agents.sumOf { it.repeatedTokens },
        cost = cost,
        inShare = inShare(jobs),
    )
}

private fun List<FakeAgent>.cost(pool: Pool) = sumOf { it.paidMs } / 3_600_000.0 * pool.costPerHour

/** Organisations that asked for no more of any pool than an equal part of it. */
private fun Scenario.inShare(jobs: List<Job>): Set<OrganisationId> {
    val used = HashMap<Pair<OrganisationId, Pool>, Double>()
    for (job in jobs) {
        val part = 1000.0 / durationMs / deployment.capacityPerSecond(job.profile)
        used.merge(job.organisation to deployment.pool(job.profile), part, Double::plus)
    }
    val share = 1.0 / deployment.members.size
    val over = used.filterValues { it > share }.keys.map { it.first }
    return deployment.members.map { it.id }.toSet() - over.toSet()
}
