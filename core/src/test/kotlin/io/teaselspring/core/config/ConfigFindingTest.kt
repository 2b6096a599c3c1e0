package io.teaselspring.core.config

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.teaselspring.core.DataCentre
import io.teaselspring.core.OrganisationId
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readText

private fun document(
    text: String,
    file: String = "base",
) = parseDocument(file, text).fold({ error("$it") }, { it })

private const val CLASSES = """"classes": {"slow": {"tier": 2, "first_token_target_ms": 900}}"""
private const val ENGINE = """"engine": {"kind": "model_engine", "models": ["m"]}"""
private const val UPSTREAMS = """"upstreams": {$ENGINE, "shop": {"kind": "plain_service"}}"""
private const val ROUTES =
    """"routes": {"chat": {"path_prefix": "/v1/chat/completions", "upstream": "engine", "class": "slow"},
    "shop": {"path_prefix": "/shop", "upstream": "shop", "class": "slow"}}"""
private const val GOOD = "{$CLASSES, $UPSTREAMS, $ROUTES}"

/** The good base with [from] replaced by [to], and the severity, path and part of the message of its only finding. */
private class Case(
    val from: String,
    val to: String,
    val finding: String,
    val message: String,
)

private const val TARGET = "\"first_token_target_ms\": 900"
private const val SHOP = "\"shop\": {\"kind\": \"plain_service\""
private const val SHOP_ROUTE = "\"shop\": {\"path_prefix\": \"/shop\""
private val CASES =
    listOf(
        Case("\"tier\": 2", "\"tier\": 9", "ERROR $.classes.slow.tier", "allowed is a whole number from 1 to 7"),
        Case("\"tier\": 2", "\"teir\": 2, \"tier\": 2", "ERROR $.classes.slow.teir", "an unknown field"),
        Case("/shop", "/v1/chat/completions", "ERROR $.routes.shop.path_prefix", "other than that of route chat"),
        Case(SHOP, "$SHOP, \"min_count\": 3", "ERROR $.upstreams.shop.min_count", "at most max_count, which is 1"),
        Case("\"class\": \"slow\"}}", "\"class\": \"fast\"}}", "ERROR $.routes.shop.class", "a class: slow"),
        Case(TARGET, "$TARGET, \"completion_target_ms\": 800", "WARNING $.classes.slow.completion_target_ms", "raise"),
        Case(
            TARGET,
            "$TARGET, \"between_tokens_target_ms\": 2000, \"completion_target_ms\": 1500",
            "WARNING $.classes.slow.completion_target_ms",
            "below between_tokens_target_ms, which is 2000",
        ),
        Case(TARGET, "${TARGET}000", "WARNING $.classes.slow.first_token_target_ms", "after 600000 ms at the latest"),
        Case(
            CLASSES,
            CLASSES.dropLast(1) + """, "auto": {"tier": 1, $TARGET}}""",
            "WARNING $.classes.auto",
            "stands for the class of the route",
        ),
        Case(
            SHOP,
            "$SHOP, \"hours\": {\"from_hour\": 24, \"to_hour\": 0}",
            "WARNING $.upstreams.shop.hours",
            "never open",
        ),
        Case(
            SHOP,
            "\"idle\": {\"kind\": \"plain_service\"}, $SHOP",
            "WARNING $.upstreams.idle",
            "no route leads to it",
        ),
        Case(
            SHOP,
            "${ENGINE.replace("engine\":", "copy\":")}, $SHOP",
            "WARNING $.upstreams.copy",
            "remove the upstream",
        ),
        Case(
            SHOP,
            """"other": {"kind": "model_engine", "models": ["m", "n"]}, $SHOP""",
            "WARNING $.upstreams.other.models",
            "chat requests for \"m\" go to upstream engine",
        ),
        Case("/shop", "/shop?all", "WARNING $.routes.shop.path_prefix", "matches no request"),
        Case("/shop", "/v1/chat/completions/", "WARNING $.routes.shop.path_prefix", "remove the last /"),
        Case("/shop", "/v1/models", "WARNING $.routes.shop.path_prefix", "entries answer it"),
        Case(
            SHOP_ROUTE,
            "\"deep\": {\"path_prefix\": \"/shop/\", \"upstream\": \"shop\", \"class\": \"slow\"}, $SHOP_ROUTE",
            "WARNING $.routes.shop.path_prefix",
            "because route deep is longer",
        ),
        Case(
            "completions\", \"upstream\": \"engine\"",
            "completions\", \"upstream\": \"shop\"",
            "WARNING $.routes.chat.upstream",
            "they go to model engines only",
        ),
    )

// Guards against faults that show only in service after they were submitted, and against findings on sound documents.
class ConfigFindingTest :
    FunSpec({
        test("each bad configuration has exactly the findings expected") {
            checkConfiguration(document(GOOD), emptyMap()).shouldBeEmpty()
            CASES.forEach { case ->
                val text = GOOD.replaceFirst(case.from, case.to)
                withClue(text) {
                    (text == GOOD) shouldBe false
                    val findings = checkConfiguration(document(text), emptyMap())
                    findings.map { "${it.severity} ${it.path}" } shouldContainExactly listOf(case.finding)
                    findings.single().message shouldContain case.message
                }
            }
        }

        test("without an engine, a class that no route uses can never match") {
            val text = """{"classes": {"slow": {"tier": 2, "first_token_target_ms": 900}}}"""
            checkConfiguration(document(text), emptyMap()).map { it.path } shouldBe listOf("$.classes.slow")
        }

        test("a finding names its data centres once, and the document that causes it") {
            val contradiction = """{"classes": {"slow": {"completion_target_ms": 5}}}"""
            val removal = """{"routes": {"chta": null}}"""
            val overlays =
                mapOf("a" to removal, "b" to removal, "c" to contradiction, "d" to """{"limits": 1}""")
                    .entries
                    .associate { DataCentre(it.key) to document(it.value, "overlay-${it.key}") }
            checkConfiguration(document(GOOD), overlays).map { "${it.severity} ${it.file} ${it.path}" } shouldBe
                listOf(
                    "ERROR overlay-d $.limits",
                    "WARNING overlay-a $.routes.chta",
                    "WARNING overlay-b $.routes.chta",
                    "WARNING overlay-c $.classes.slow.completion_target_ms",
                )
            val unused = GOOD.replace(SHOP, "\"idle\": {\"kind\": \"plain_service\"}, $SHOP")
            val two = listOf("a", "b").associate { DataCentre(it) to document("{}", it) }
            val finding = checkConfiguration(document(unused), two).single()
            finding.file to finding.dataCentres shouldBe ("base" to two.keys.toList())
        }

        test("an organisation needs one key that is neither withdrawn nor about to be") {
            val owners = listOf("none", "withdrawn", "pending", "works").map(::OrganisationId)
            val keys =
                listOf(
                    KeyStatus(owners[1], 5),
                    KeyStatus(owners[2], pending = true),
                    KeyStatus(owners[3], 5),
                    KeyStatus(owners[3]),
                )
            checkOrganisations(owners.toSet(), keys).map { it.path } shouldBe
                listOf("$.none", "$.withdrawn", "$.pending")
        }

        test("differences are listed by entry with the data centres where they apply") {
            val overlay = mapOf(DataCentre("a") to document("""{"classes": {"slow": {"tier": 1}}}""").document)
            val before = ConfigState(base = document(GOOD).document, overlays = overlay)
            val changed = GOOD.replace("\"tier\": 2", "\"tier\": 3").replace("\"shop\": {\"path", "\"store\": {\"path")
            before.differencesTo(before).shouldBeEmpty()
            val differences = before.differencesTo(before.copy(base = document(changed).document))
            differences.map { Triple("${it.change} ${it.entry}", it.dataCentres.size, it.withoutOverlay) } shouldBe
                listOf(
                    Triple("CHANGED classes.slow", 0, true),
                    Triple("REMOVED routes.shop", 1, true),
                    Triple("ADDED routes.store", 1, true),
                )
            differences.first().lines shouldBe listOf("~ $.classes.slow.tier: 2 -> 3")
            differences.last().lines shouldHaveSize 3
        }

        listOf("carriage", "association").forEach { name ->
            test("the example $name has no findings") {
                val directory = Path.of("..", "examples", name)

                fun read(file: Path) = document(file.readText(), "$file")
                val overlays =
                    directory.resolve("overlays").listDirectoryEntries("*.jsonc").associate {
                        DataCentre(it.nameWithoutExtension) to read(it)
                    }
                checkConfiguration(read(directory.resolve("base.jsonc")), overlays).shouldBeEmpty()
            }
        }
    })
