package io.teaselspring.core.config

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import io.teaselspring.core.DataCentre
import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId

private fun document(
    text: String,
    file: String = "base.json",
) = parseDocument(file, text).fold({ error("$it") }, { it })

private const val BASE = """
{
  // Comments and trailing commas are allowed.
  "classes": {"short": {"tier": 1, "first_token_target_ms": 800, "between_tokens_target_ms": 60,}},
  "upstreams": {"narradores": {"kind": "model_engine", "models": ["m"], "max_count": 8}},
  "routes": {"chat": {"path_prefix": "/v1", "upstream": "narradores", "class": "short"}},
}
"""

private fun problems(
    from: String,
    to: String,
) = validateDocuments(document(BASE.replace(from, to)), emptyMap()).map { "$it" }

// Guards against invalid files that are accepted, and against errors that do not say where the problem is.
class ConfigValidationTest :
    FunSpec({
        test("a valid base with a valid overlay has no problems, and the overlay applies") {
            val overlay = document("""{"upstreams": {"narradores": {"max_count": 3}}}""", "oviedo.json")
            validateDocuments(document(BASE), mapOf(DataCentre("oviedo") to overlay)).shouldBeEmpty()
            val state = ConfigState(1, document(BASE).document, mapOf(DataCentre("oviedo") to overlay.document))
            state
                .siteConfig(DataCentre("oviedo"))
                .upstreams.values
                .single()
                .maxCount shouldBe 3
        }

        test("each error names file, path, value and what is allowed") {
            problems("\"tier\": 1", "\"tier\": 8") shouldContainExactly
                listOf("base.json: $.classes.short.tier: found 8, allowed is a whole number from 1 to 7")
            problems("\"first_token_target_ms\": 800", "\"first_token_target_s\": 0.8") shouldContainExactly
                listOf(
                    "base.json: $.classes.short.first_token_target_ms: found nothing, allowed is a whole number " +
                        "from 1 to 3600000, in milliseconds",
                    "base.json: $.classes.short.first_token_target_s: found an unknown field with 0.8, allowed is " +
                        "\"first_token_target_ms\", in that unit",
                )
            problems("\"upstream\": \"narradores\"", "\"upstream\": \"x\"") shouldContainExactly
                listOf("base.json: $.routes.chat.upstream: found \"x\", allowed is an upstream: narradores")
        }

        test("an error that an overlay introduces names the overlay's file") {
            val overlay = document("""{"classes": {"short": {"tier": 0}}}""", "gijon.json")
            validateDocuments(document(BASE), mapOf(DataCentre("gijon") to overlay)).map { it.file to it.path } shouldBe
                listOf("gijon.json" to "$.classes.short.tier")
        }

        test("an overlay that removes what a route refers to is rejected") {
            val overlay = document("""{"classes": {"short": null}}""", "gijon.json")
            validateDocuments(document(BASE), mapOf(DataCentre("gijon") to overlay)).map { it.path } shouldBe
                listOf("$.routes.chat.class")
        }

        test("text that is not JSON is rejected with the file's name") {
            parseDocument("x.json", "{\"a\": ").leftOrNull()?.file shouldBe "x.json"
        }

        test("a key of an unknown organisation and the deletion of an organisation with an active key are rejected") {
            val key = ApiKey(OrganisationId("acme"), "a".repeat(64), 0)
            val put = ConfigEdit.PutKey(KeyId("k-1"), key)
            ConfigState().problemsOf(listOf(put)).map { it.path } shouldBe listOf("$.organisation")
            val state =
                ConfigState(organisations = mapOf(key.organisation to Organisation()), keys = mapOf(put.id to key))
            state.problemsOf(listOf(ConfigEdit.PutOrganisation(key.organisation, null))).size shouldBe 1
        }

        test("differences are one line each") {
            val after =
                document(BASE.replace("\"tier\": 1", "\"tier\": 2").replace("\"max_count\": 8", "\"min_count\": 1"))
            diffLines(document(BASE).document, after.document) shouldBe
                listOf(
                    "~ $.classes.short.tier: 1 -> 2",
                    "- $.upstreams.narradores.max_count: 8",
                    "+ $.upstreams.narradores.min_count: 1",
                )
        }

        test("in whatever order changes arrive, versions never decrease and every version gives the same state") {
            val all = (1L..20L).map { ConfigChange(it, "c$it", "a", 0, organisationEdit(it)) }
            val expected = all.runningFold(ConfigState()) { state, change -> state.applying(change) }
            checkAll(300, Arb.list(Arb.int(0..19), 0..60)) { order ->
                val log = ConfigLog(maxRetainedChanges = 5)
                order.forEach { index ->
                    val before = log.state.version
                    if (index % 7 == 6) log.installSnapshot(expected[index]) else log.applyNew(listOf(all[index]))
                    (log.state.version >= before) shouldBe true
                    log.state shouldBe expected[log.state.version.toInt()]
                    log.changesAfter(before)?.map { it.version } shouldBe
                        if (log.changesAfter(before) == null) null else (before + 1..log.state.version).toList()
                }
            }
        }
    })

private fun organisationEdit(version: Long) =
    listOf(ConfigEdit.PutOrganisation(OrganisationId("o${version % 6}"), Organisation().takeIf { version % 5 != 0L }))
