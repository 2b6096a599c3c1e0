/*
 * The two deployments of the design page as the experiments use them: pools, classes and organisations. Token counts
 * and speeds are assumptions of the experiment; targets are round figures in the range that the design page names.
 */
package io.teaselspring.experiment

import io.teaselspring.core.DataCentre
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.UpstreamName

/** A deployment. [primaryClasses] are those whose attainment weighs most, empty when organisations and cost do. */
class Deployment(
    val pools: List<Pool>,
    val profiles: List<ClassProfile>,
    val members: List<Member>,
    val primaryClasses: List<String>,
) {
    val dataCentres: List<DataCentre> = pools.first().dataCentres

    fun profile(name: String): ClassProfile = profiles.first { it.name == name }

    fun pool(profile: ClassProfile): Pool = pools.first { it.upstream == profile.upstream }

    /** Requests per second of [profile] that would take all of its pool. */
    fun capacityPerSecond(profile: ClassProfile): Double {
        val pool = pool(profile)
        if (pool.plain) return pool.count * FakeAgent.SERVICE_SLOTS * 1000 / profile.meanServiceMs
        val tokensPerRequest = profile.meanTokens + profile.promptTokens * FakeEngine.PROMPT_TOKEN_SHARE
        return pool.count * ENGINE_TOKENS_PER_SECOND / tokensPerRequest
    }
}

/** What an engine produces with the largest batch that holds 38 ms between tokens. */
const val ENGINE_TOKENS_PER_SECOND = 1100.0

private fun dataCentres(vararg names: String) = names.map(::DataCentre)

private fun members(vararg sizes: Double) =
    sizes.mapIndexed { index, size -> Member(OrganisationId("org-$index"), size / sizes.sum()) }

private val narradores = UpstreamName("narradores")
private val taquilla = UpstreamName("taquilla")

val carriage =
    Deployment(
        pools =
            dataCentres("oviedo", "gijon", "santander").let {
                listOf(Pool(narradores, false, 8, 4.0, it), Pool(taquilla, true, 3, 0.3, it))
            },
        profiles =
            listOf(
                ClassProfile("booking", 1, taquilla, 1500, null, 10_000, 0, meanServiceMs = 250.0),
                ClassProfile("short_answer", 1, narradores, 1000, 40, 30_000, 60, 300),
                ClassProfile("narrative", 2, narradores, 3000, 40, 90_000, 400, 600),
            ),
        members = members(8.0, 6.0, 5.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.5, 0.5),
        primaryClasses = listOf("short_answer", "booking"),
    )

private val ouateLlm = UpstreamName("ouate-llm")
private val ouateApp = UpstreamName("ouate-app")

val association =
    Deployment(
        pools =
            dataCentres("casa-a", "casa-b", "casa-c").let {
                listOf(Pool(ouateLlm, false, 13, 4.0, it), Pool(ouateApp, true, 3, 0.3, it))
            },
        profiles =
            listOf(
                ClassProfile("order", 1, ouateApp, 1500, null, 10_000, 0, meanServiceMs = 250.0),
                ClassProfile("quick_question", 1, ouateLlm, 1000, 40, 30_000, 60, 300),
                ClassProfile("quotation", 2, ouateLlm, 2000, 40, 45_000, 250, 500),
                ClassProfile("dossier", 3, ouateLlm, 5000, 40, 240_000, 900, 1500),
            ),
        members = members(9.0, 7.0, 4.0, 1.0, 1.0, 1.0, 0.8, 0.6, 0.5, 0.4),
        primaryClasses = emptyList(),
    )
