/*
 * Output of a scenario, as a table for people or as one JSON object.
 */
package io.teaselspring.experiment

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import kotlin.math.round

class Report(
    val scenario: String,
    val seed: Long,
    val policies: List<Figures>,
    val targets: List<Target>,
)

private fun rounded(value: Double) = round(value * 1e9) / 1e9

fun Report.toJson(): String {
    val content =
        buildJsonObject {
            put("scenario", scenario)
            put("seed", seed)
            putJsonArray("policies") { policies.forEach { add(it.toJson()) } }
            putTargets(targets)
        }
    return prettyJson.encodeToString(JsonObject.serializer(), content)
}

internal fun JsonObjectBuilder.putTargets(targets: List<Target>) {
    putJsonArray("targets") {
        targets.forEach { target ->
            addJsonObject {
                put("name", target.name)
                put("bound", target.bound)
                put("value", rounded(target.value))
                put("met", target.met)
            }
        }
    }
}

internal val prettyJson = Json { prettyPrint = true }

private fun Figures.toJson(): JsonObject =
    buildJsonObject {
        put("name", name)
        putJsonObject("attainment_pct") { attainmentPct.forEach { (name, value) -> put(name, rounded(value)) } }
        put("goodput_tokens_per_second", rounded(goodputTokensPerSecond))
        put("wasted_pct", rounded(wastedPct))
        put("worst_organisation_attainment_pct", rounded(worstOrganisationAttainmentPct))
        put("median_organisation_attainment_pct", rounded(medianOrganisationAttainmentPct))
        put("cost_per_attained_request", rounded(costPerAttainedRequest))
    }

fun Report.toText(): String =
    buildString {
        val classes = policies.first().attainmentPct.keys
        val columns =
            classes.map { "$it %" } +
                listOf("goodput tok/s", "wasted %", "worst org %", "median org %", "cost/attained")
        appendLine("scenario $scenario, seed $seed")
        appendLine("%-24s".format("policy") + columns.joinToString("") { "%16s".format(it) })
        for (policy in policies) appendLine(row(policy.name, policy.values()))
        val baselines = policies.drop(1)
        if (baselines.isNotEmpty()) appendLine(row("ratio to best baseline", ratios(policies.first(), baselines)))
        for (target in targets) {
            val verdict = if (target.met) "met" else "MISSED"
            appendLine("%-60s %-14s %10.6g  %s".format(target.name, target.bound, target.value, verdict))
        }
        for ((name, misses) in policies.first().missed) appendLine("missed by ${policies.first().name} $name: $misses")
    }

private fun row(
    name: String,
    values: List<Double>,
) = "%-24s".format(name) + values.joinToString("") { "%16.6g".format(it) }

private fun Figures.values() =
    attainmentPct.values +
        listOf(
            goodputTokensPerSecond,
            wastedPct,
            worstOrganisationAttainmentPct,
            medianOrganisationAttainmentPct,
            costPerAttainedRequest,
        )

/** Ours divided by the best baseline of each column: the highest value, or the lowest for waste and cost. */
private fun ratios(
    ours: Figures,
    baselines: List<Figures>,
): List<Double> {
    val columns = baselines.map { it.values() }
    val wasted = ours.attainmentPct.size + 1
    return ours.values().mapIndexed { index, value ->
        val others = columns.map { it[index] }
        val best = if (index == wasted || index == others.size) others.min() else others.max()
        if (best == 0.0) Double.NaN else value / best
    }
}
