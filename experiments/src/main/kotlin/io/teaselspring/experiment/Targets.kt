/*
 * Targets of a scenario. The bounds come from the design page, never from measured figures.
 */
package io.teaselspring.experiment

/** A target with its bound in words and the measured value. */
data class Target(
    val name: String,
    val bound: String,
    val value: Double,
    val met: Boolean,
)

private fun atLeast(
    name: String,
    bound: Double,
    value: Double,
) = Target(name, ">= %.6g".format(bound), value, value >= bound)

private fun atMost(
    name: String,
    bound: Double,
    value: Double,
) = Target(name, "<= %.6g".format(bound), value, value <= bound)

/** Targets for [ours] among [all] figures of the scenario. */
fun Scenario.targets(
    ours: Figures,
    all: List<Figures>,
): List<Target> {
    val baselines = all - ours
    val highest = deployment.profiles.minOf { it.tier }
    return buildList {
        for (profile in deployment.profiles.filter { it.tier == highest }) {
            add(atLeast("highest tier ${profile.name}, % attained", 99.0, ours.attainmentPct.getValue(profile.name)))
        }
        val lowest = ours.attainmentPct.values.min()
        add(Target("no class at zero, lowest % attained", "> 0", lowest, lowest > 0))
        add(atMost("wasted work, %", 2.0, ours.wastedPct))
        val median = ours.medianOrganisationAttainmentPct
        val worst = ours.worstOrganisationAttainmentPct
        add(atLeast("worst-served organisation in its share, % attained", 0.9 * median, worst))
        addAll(againstBaselines(ours, baselines))
    }
}

private fun Scenario.againstBaselines(
    ours: Figures,
    baselines: List<Figures>,
): List<Target> =
    if (deployment.primaryClasses.isEmpty()) {
        listOf(
            atLeast(
                "worst-served organisation, best baseline",
                baselines.maxOf { it.worstOrganisationAttainmentPct },
                ours.worstOrganisationAttainmentPct,
            ),
            atMost(
                "cost per attained request, best baseline",
                baselines.minOf { it.costPerAttainedRequest },
                ours.costPerAttainedRequest,
            ),
        )
    } else {
        deployment.primaryClasses.map { name ->
            val best = baselines.maxOf { it.attainmentPct.getValue(name) }
            atLeast("$name, best baseline", best, ours.attainmentPct.getValue(name))
        }
    }
