/*
 * The scenarios that run a workload. Demand is given as a part of the capacity of a class's pool.
 */
package io.teaselspring.experiment

/** Demand by class name while nothing special happens; 0.6 of the engines and half of the services in all. */
private val carriageBase = mapOf("booking" to 0.5, "short_answer" to 0.2, "narrative" to 0.4)
private val associationBase =
    mapOf("order" to 0.5, "quick_question" to 0.15, "quotation" to 0.2, "dossier" to 0.25)

private const val BURST_FROM_MS = 60_000L
private const val BURST_TO_MS = 180_000L

private fun inBurst(atMs: Long) = atMs in BURST_FROM_MS until BURST_TO_MS

private fun burst(
    base: Map<String, Double>,
    bursting: String,
): Demand =
    { profile, _, atMs ->
        if (profile.name == bursting && inBurst(atMs)) 3.0 else base.getValue(profile.name)
    }

private fun steady(
    base: Map<String, Double>,
    factor: Double,
): Demand = { profile, _, _ -> base.getValue(profile.name) * factor }

private fun Run.engines() = agents.filter { it.upstream is FakeEngine }

private fun Run.gone(
    lost: List<FakeAgent>,
    fromMs: Long,
    toMs: Long,
) {
    loop.at(fromMs) { lost.forEach { it.crash() } }
    loop.at(toMs) { lost.forEach { it.restart() } }
}

private val noisyMember = carriage.members[5]

val scenarios: List<Scenario> =
    listOf(
        Scenario(
            "burst-carriage",
            "narratives burst to 3 times the capacity for 2 minutes",
            carriage,
            demand = burst(carriageBase, "narrative"),
        ),
        Scenario(
            "burst-association",
            "quotations burst to 3 times the capacity for 2 minutes",
            association,
            demand = burst(associationBase, "quotation"),
        ),
        Scenario(
            "straggler",
            "one engine runs at a fifth of its speed after a minute; load reports arrive 2 s late",
            carriage,
            reportLagMs = 2000,
            faults = { run ->
                run.loop.at(60_000) {
                    run
                        .engines()
                        .first()
                        .upstream.speed = 0.2
                }
            },
            demand = steady(carriageBase, 1.1),
        ),
        Scenario(
            "crash",
            "one engine is lost for a minute at peak load",
            association,
            faults = { run -> run.gone(run.engines().take(1), 120_000, 180_000) },
            demand = steady(associationBase, 1.45),
        ),
        Scenario(
            "noisy-neighbour",
            "one small organisation sends 20 times its share of engine work for 3 minutes",
            carriage,
            demand = { profile, member, atMs ->
                val noisy = member == noisyMember && !profile.plain && atMs in 60_000 until 240_000
                // A share is a tenth of the capacity; sizes cancel out so that this member alone asks for 20 tenths.
                val factor = if (noisy) 2.0 / 0.6 / member.size else 1.0
                carriageBase.getValue(profile.name) * factor
            },
        ),
        Scenario(
            "retry-storm",
            "a third of the engines and services is gone for 30 s",
            association,
            faults = { run ->
                val lost =
                    run.agents
                        .groupBy { it.upstreamName }
                        .values
                        .flatMap { it.take(it.size / 3) }
                run.gone(lost, 120_000, 150_000)
            },
            demand = steady(associationBase, 1.2),
        ),
        day,
    )
