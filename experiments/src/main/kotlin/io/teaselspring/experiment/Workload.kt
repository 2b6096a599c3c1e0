/*
 * Workloads: classes, organisations and the requests of one run. A workload is drawn from the seed before any policy
 * runs, so that all policies get the same requests.
 */
package io.teaselspring.experiment

import io.teaselspring.core.ClassName
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.UpstreamName
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/**
 * A class as the experiment sees it. [meanTokens] 0 stands for a call of a plain service, whose [firstTokenTargetMs] is
 * the target for the whole response.
 */
data class ClassProfile(
    val name: String,
    val tier: Int,
    val upstream: UpstreamName,
    val firstTokenTargetMs: Long,
    val betweenTokensTargetMs: Long?,
    val deadlineMs: Long,
    val meanTokens: Int,
    val promptTokens: Int = 0,
    val meanServiceMs: Double = 0.0,
    val weight: Int = 1,
) {
    val className = ClassName(name)
    val plain: Boolean get() = meanTokens == 0
}

/** An organisation; [size] is its part of the arrivals. */
data class Member(
    val id: OrganisationId,
    val size: Double,
)

/** One request of the workload. */
class Job(
    val number: Int,
    val arrivalMs: Long,
    val profile: ClassProfile,
    val organisation: OrganisationId,
    val tokens: Int,
    val serviceMs: Double,
    val prefix: Long,
)

/** Arrivals per second of one class of one member at a time. */
typealias ArrivalRate = (profile: ClassProfile, member: Member, atMs: Long) -> Double

/** Draws Poisson arrivals over [durationMs], at a rate that is constant within each second. */
fun drawJobs(
    seed: Long,
    durationMs: Long,
    profiles: List<ClassProfile>,
    members: List<Member>,
    rate: ArrivalRate,
): List<Job> {
    val jobs = mutableListOf<Job>()
    for ((profileIndex, profile) in profiles.withIndex()) {
        for ((memberIndex, member) in members.withIndex()) {
            val random = Random(seed * 1_000_003 + profileIndex * 1009 + memberIndex)
            for (atMs in 0 until durationMs step 1000) {
                repeat(random.poisson(rate(profile, member, atMs))) {
                    jobs += random.job(atMs + random.nextLong(1000), profile, member, memberIndex)
                }
            }
        }
    }
    return jobs.sortedBy { it.arrivalMs }.mapIndexed { index, job -> job.numbered(index) }
}

private fun Random.job(
    arrivalMs: Long,
    profile: ClassProfile,
    member: Member,
    memberIndex: Int,
): Job {
    // Answer lengths and service times are log-normal with this spread, so a few are several times the mean.
    val factor = exp(SPREAD * gaussian() - SPREAD * SPREAD / 2)
    return Job(
        number = 0,
        arrivalMs = arrivalMs,
        profile = profile,
        organisation = member.id,
        tokens = if (profile.plain) 0 else maxOf(1, (profile.meanTokens * factor).toInt()),
        serviceMs = profile.meanServiceMs * factor,
        prefix = memberIndex * 100L + profile.promptTokens + nextInt(PREFIXES_PER_MEMBER),
    )
}

private fun Job.numbered(number: Int) = Job(number, arrivalMs, profile, organisation, tokens, serviceMs, prefix)

private fun Random.gaussian(): Double {
    val radius = kotlin.math.sqrt(-2 * ln(1 - nextDouble()))
    return radius * kotlin.math.cos(2 * Math.PI * nextDouble())
}

private fun Random.poisson(mean: Double): Int {
    var count = 0
    var sum = -ln(1 - nextDouble())
    while (sum < mean) {
        count += 1
        sum -= ln(1 - nextDouble())
    }
    return count
}

private const val SPREAD = 0.6
private const val PREFIXES_PER_MEMBER = 4
