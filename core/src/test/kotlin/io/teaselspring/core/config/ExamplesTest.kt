package io.teaselspring.core.config

import arrow.core.getOrElse
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.maps.shouldContainKey
import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre
import io.teaselspring.core.UpstreamName
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.decodeFromJsonElement
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readText

private fun Path.read(): NamedDocument = parseDocument(toString(), readText()).getOrElse { error(it.toString()) }

// Guards against examples that no longer match the schema, have dangling references, or run too many instances.
class ExamplesTest :
    FunSpec({
        fun base(name: String) = Path.of("..", "examples", name, "base.jsonc").read()

        fun overlays(name: String) =
            Path.of("..", "examples", name, "overlays").listDirectoryEntries("*.jsonc").associate {
                DataCentre(it.nameWithoutExtension) to it.read()
            }

        fun sites(name: String): Map<String, SiteConfig> =
            overlays(name).entries.associate { (dataCentre, overlay) ->
                val overlaid = base(name).document.mergedWith(overlay.document)
                dataCentre.value to Json.decodeFromJsonElement<SiteConfig>(overlaid)
            }

        fun Map<String, SiteConfig>.total(upstream: String) =
            values.sumOf { it.upstreams.getValue(UpstreamName(upstream)).maxCount }

        listOf("carriage", "association").forEach { name ->
            test("each overlay of $name decodes strictly over the base and refers only to what exists") {
                validateDocuments(base(name), overlays(name)) shouldBe emptyList()
                sites(name).values.forEach { site ->
                    site.routes.values.forEach {
                        site.classes shouldContainKey it.serviceClass
                        site.upstreams shouldContainKey it.upstream
                    }
                    site.upstreams.values.forEach { (it.minCount in 0..it.maxCount) shouldBe true }
                    (site.upstreams.values.mapNotNull { it.hours }).forEach {
                        (0..24) shouldContain it.fromHour
                        (0..24) shouldContain it.toHour
                    }
                }
            }
        }

        test("the overlays together run the instances of the two deployments") {
            val carriage = sites("carriage")
            carriage.keys shouldBe setOf("oviedo", "gijon", "santander")
            carriage.total("narradores") to carriage.total("taquilla") shouldBe (8 to 3)
            val association = sites("association")
            association.keys shouldBe setOf("casa-a", "casa-b", "casa-c")
            association.total("ouate-llm") to association.total("ouate-app") shouldBe (13 to 3)
        }
    })
