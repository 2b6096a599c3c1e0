/*
 * The day scenario: two sites with shifted hours whose engines are started and stopped by the real scaling rules. An
 * hour takes a minute, and so do the times of the scaling rules; the baselines keep the whole fleet running.
 */
package io.teaselspring.experiment

import io.teaselspring.core.DataCentre
import io.teaselspring.core.config.Upstream
import io.teaselspring.core.config.UpstreamKind
import io.teaselspring.core.orders.ScalingPolicy
import io.teaselspring.core.orders.ScalingState
import io.teaselspring.core.orders.UpstreamDemand
import io.teaselspring.core.orders.neededCount
import io.teaselspring.core.orders.next
import kotlin.math.PI
import kotlin.math.sin

/** Virtual time of one hour of the day. */
const val HOUR_MS = 60_000L

private val sites = listOf("casa-a", "casa-b").map(::DataCentre)

/** The association with its engines at two sites. */
val twoSites =
    Deployment(
        pools = association.pools.map { it.copy(dataCentres = sites) },
        profiles = association.profiles,
        members = association.members,
        primaryClasses = emptyList(),
    )

/** Load of a member's site at [atMs]: 0.05 at night, 1.0 at its noon; the second site is 4 hours behind. */
private fun siteLoad(
    member: Member,
    atMs: Long,
): Double {
    val late = twoSites.members.indexOf(member) % 2 == 1
    val hour = atMs.toDouble() / HOUR_MS - if (late) 10 else 6
    return if (hour in 0.0..12.0) maxOf(NIGHT, sin(PI * hour / 12)) else NIGHT
}

/** Starts and stops the engines of each site by demand, one decision a second. */
private class Scaler(
    private val run: Run,
    private val engines: List<FakeAgent>,
) {
    private val upstream = Upstream(UpstreamKind.MODEL_ENGINE, minCount = 1, maxCount = engines.size)
    private val policy = ScalingPolicy(scaleDownAfterMs = LOWER_AFTER_MS)
    private var state = ScalingState(1)
    private val starting = HashSet<FakeAgent>()

    fun begin() {
        engines.drop(1).forEach { it.crash() }
        decide()
    }

    private fun decide() {
        val serving = engines.filter { it.alive && !it.draining }
        val loads = serving.map { it.load }
        val demand = UpstreamDemand(loads.sumOf { it.running }, loads.sumOf { it.queued }, SLOTS)
        state = state.next(upstream.neededCount(demand, policy, run.loop.nowMs), policy, run.loop.nowMs)
        val missing = state.count - serving.size - starting.size
        if (missing > 0) {
            engines.filter { !it.alive && it !in starting }.take(missing).forEach(::start)
        } else {
            serving.sortedBy { it.load.running }.take(-missing).forEach { it.drain() }
        }
        run.loop.after(DECISION_US) { decide() }
    }

    private fun start(engine: FakeAgent) {
        starting += engine
        run.loop.after(START_US) {
            starting -= engine
            engine.restart()
        }
    }

    private companion object {
        const val LOWER_AFTER_MS = 10_000L
        const val DECISION_US = 1_000_000L

        /** Loading a model; two minutes at the scale of the day. */
        const val START_US = 2_000_000L

        /** Streams that an engine holds within 40 ms between tokens. */
        const val SLOTS = 40
    }
}

private fun scaled(run: Run): Router {
    run.agents
        .filter { it.upstream is FakeEngine }
        .groupBy { it.dataCentre }
        .values
        .forEach { Scaler(run, it).begin() }
    return teaselspring(run)
}

val day =
    Scenario(
        name = "day",
        description = "two sites with shifted hours over a day of 24 minutes; baselines and static_fleet do not scale",
        deployment = twoSites,
        durationMs = 24 * HOUR_MS,
        policies =
            listOf(Policy("teaselspring", ::scaled), Policy("static_fleet", ::teaselspring)) + allPolicies.drop(1),
        demand = { profile, member, atMs -> dayDemand.getValue(profile.name) * siteLoad(member, atMs) },
    )

private val dayDemand = mapOf("order" to 0.5, "quick_question" to 0.15, "quotation" to 0.25, "dossier" to 0.35)

private const val NIGHT = 0.05
