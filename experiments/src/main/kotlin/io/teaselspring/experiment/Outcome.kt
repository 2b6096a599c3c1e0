/*
 * What became of each request of a run, and the figures derived from it.
 */
package io.teaselspring.experiment

import io.teaselspring.core.OrganisationId

/** Progress and end of one request as its caller sees it. */
class Outcome(
    val job: Job,
) {
    var firstTokenMs: Long? = null
    var lastTokenMs: Long? = null
    var received = 0
    var completedMs: Long? = null
    var refused = false
    var failed = false

    fun token(
        offset: Int,
        nowMs: Long,
    ) {
        if (offset <= received) return
        received = offset
        if (firstTokenMs == null) firstTokenMs = nowMs
        lastTokenMs = nowMs
    }

    /** Whether the whole response came and met the targets of its class. */
    val attained: Boolean get() = miss == null

    /** Why the request missed its targets, or null when it attained them. */
    val miss: Miss?
        get() {
            val profile = job.profile
            val done = completedMs
            val first = if (profile.plain) done else firstTokenMs
            return when {
                refused -> Miss.REFUSED
                done == null || first == null -> Miss.INCOMPLETE
                first - job.arrivalMs > profile.firstTokenTargetMs -> Miss.LATE
                intervalMs(first, done) > (profile.betweenTokensTargetMs ?: Long.MAX_VALUE) -> Miss.SLOW
                else -> null
            }
        }

    private fun intervalMs(
        firstMs: Long,
        doneMs: Long,
    ) = if (received < 2) 0.0 else (doneMs - firstMs).toDouble() / (received - 1)
}

/** Why a request missed its targets: late to the first token, or slow between tokens. */
enum class Miss { REFUSED, INCOMPLETE, LATE, SLOW }

/** Figures of one policy in one scenario. */
data class Figures(
    val name: String,
    val attainmentPct: Map<String, Double>,
    val goodputTokensPerSecond: Double,
    val wastedPct: Double,
    val worstOrganisationAttainmentPct: Double,
    val medianOrganisationAttainmentPct: Double,
    val costPerAttainedRequest: Double,
    val missed: Map<String, Map<Miss, Int>>,
)

/** What a run leaves behind. [inShare] are the organisations that count for the worst-served one. */
class RunResult(
    val outcomes: List<Outcome>,
    val durationMs: Long,
    val doneTokens: Double,
    val repeatedTokens: Double,
    val cost: Double,
    val inShare: Set<OrganisationId>,
)

fun RunResult.figures(name: String): Figures {
    val byOrganisation = outcomes.groupBy { it.job.organisation }.mapValues { attainment(it.value) }
    val attained = outcomes.filter { it.attained }
    val unused = outcomes.filter { it.completedMs == null }.sumOf { it.received }
    return Figures(
        name = name,
        attainmentPct = outcomes.groupBy { it.job.profile.name }.mapValues { attainment(it.value) }.toSortedMap(),
        goodputTokensPerSecond = attained.sumOf { it.received } * 1000.0 / durationMs,
        wastedPct = if (doneTokens == 0.0) 0.0 else 100 * (unused + repeatedTokens) / doneTokens,
        worstOrganisationAttainmentPct = byOrganisation.filterKeys { it in inShare }.values.minOrNull() ?: 0.0,
        medianOrganisationAttainmentPct = byOrganisation.values.sorted().let { it[it.size / 2] },
        costPerAttainedRequest = if (attained.isEmpty()) Double.MAX_VALUE else cost / attained.size,
        missed = outcomes.groupBy { it.job.profile.name }.mapValues { misses(it.value) }.toSortedMap(),
    )
}

private fun attainment(outcomes: List<Outcome>) = 100.0 * outcomes.count { it.attained } / outcomes.size

private fun misses(outcomes: List<Outcome>): Map<Miss, Int> =
    outcomes
        .mapNotNull { it.miss }
        .groupingBy { it }
        .eachCount()
        .toSortedMap()
