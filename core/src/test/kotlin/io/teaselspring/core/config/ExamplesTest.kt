package io.teaselspring.core.config

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.maps.shouldContainKey
import io.kotest.matchers.shouldBe
import io.teaselspring.core.UpstreamName
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.jsonObject
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readText

@OptIn(ExperimentalSerializationApi::class)
private val jsonc = Json { allowComments = true }

private fun Path.readObject(): JsonObject = jsonc.parseToJsonElement(readText()).jsonObject

// Guards against examples that no longer fit the configuration's types, refer to nothing, or run too many instances.
class ExamplesTest :
    FunSpec({
        fun sites(name: String): Map<String, SiteConfig> {
            val directory = Path.of("..", "examples", name)
            val base = directory.resolve("base.jsonc").readObject()
            return directory.resolve("overlays").listDirectoryEntries("*.jsonc").associate {
                val overlaid = base.mergedWith(it.readObject())
                it.nameWithoutExtension to jsonc.decodeFromJsonElement<SiteConfig>(overlaid)
            }
        }

        fun Map<String, SiteConfig>.total(upstream: String) =
            values.sumOf { it.upstreams.getValue(UpstreamName(upstream)).maxCount }

        listOf("carriage", "association").forEach { name ->
            test("each overlay of $name decodes strictly over the base and refers only to what exists") {
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
