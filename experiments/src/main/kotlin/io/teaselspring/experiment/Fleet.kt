/*
 * The agents of one run, and what every policy is to an experiment: something that takes requests.
 */
package io.teaselspring.experiment

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.RequestId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.admission.AttemptId
import io.teaselspring.core.admission.OfferedRequest

/** Takes each request of the workload at its arrival. */
fun interface Router {
    fun submit(outcome: Outcome)
}

/** Builds the router of one policy over the agents of a run. */
class Policy(
    val name: String,
    val build: (Run) -> Router,
)

/** A group of equal upstreams. [costPerHour] is the price of one instance. */
data class Pool(
    val upstream: UpstreamName,
    val plain: Boolean,
    val count: Int,
    val costPerHour: Double,
    val dataCentres: List<DataCentre>,
)

/** What the policies of one run share. */
class Run(
    val loop: EventLoop,
    val agents: List<FakeAgent>,
    val seed: Long,
    val reportLagMs: Long,
    val dataCentres: List<DataCentre>,
)

fun Pool.agents(loop: EventLoop): List<FakeAgent> =
    List(count) { index ->
        val instance = InstanceId("${upstream.value}-$index")
        FakeAgent(loop, instance, upstream, dataCentres[index % dataCentres.size], plain)
    }

/** The offer of [job] as the system's own entries make it. */
fun offerOf(
    job: Job,
    attempt: Int,
    displace: Boolean,
): OfferedRequest {
    val profile = job.profile
    return OfferedRequest(
        id = AttemptId(RequestId("r${job.number}"), attempt),
        organisation = job.organisation,
        organisationWeight = 1,
        keyId = null,
        serviceClass = profile.className,
        tier = profile.tier,
        classWeight = profile.weight,
        firstTokenDeadlineMs = job.arrivalMs + profile.firstTokenTargetMs,
        betweenTokensTargetMs = profile.betweenTokensTargetMs,
        deadlineMs = job.arrivalMs + profile.deadlineMs,
        displace = displace,
        preemptible = !profile.plain,
    )
}
