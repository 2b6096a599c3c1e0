/*
 * Guards against requests, first attempts and retries, that leave the regions that their route and their organisation
 * allow.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotStartWith
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.core.DataCentre
import io.teaselspring.core.Region
import io.teaselspring.core.routing.RoutingConfig
import io.teaselspring.daemon.eventually

private fun answering(status: String = "200 OK") =
    ScriptedUpstream { request, output ->
        output.respond(request, status = status)
        ConnectionAction.KEEP
    }

private val settings =
    GatewaySite.testSettings().copy(
        regions = mapOf(DataCentre("oviedo") to Region("norte"), DataCentre("cadiz") to Region("sur")),
    )

/**
 * The configuration with regions for all routes and for the organisation of [SITE_KEY]. The key "v" with its [version]
 * is known once it is in force.
 */
private fun GatewaySite.restricted(
    version: Long,
    ofRoutes: Set<Region>?,
    ofOrganisation: Set<Region>?,
): RoutingConfig {
    val base = configOf(version)
    return RoutingConfig(
        version,
        base.routes.map { it.copy(allowedRegions = ofRoutes) },
        base.organisations?.map {
            if (SITE_KEY in it.keys) it.copy(allowedRegions = ofOrganisation) else it.copy(keys = it.keys + "v$version")
        },
    )
}

class ResidencyGatewayTest :
    FunSpec({
        test("plain requests, prompts and retries stay in the allowed regions, and others do not") {
            val norte = answering(status = "500 Internal Server Error")
            val sur = answering()
            // Registered in its data centre from the start: the entry must never take it for one in the other region.
            withGateway(norte, settings = settings) {
                add("engine-1", sur, "cadiz")
                eventually { call(PLAIN, key = URGENT_KEY) shouldStartWith "HTTP/1.1 200" }
                config.set("config", restricted(2, ofRoutes = null, ofOrganisation = setOf(Region("norte"))))
                eventually { call(PLAIN, key = "v2") shouldNotStartWith "HTTP/1.1 401" }
                val before = sur.requests.value.size
                repeat(10) {
                    call(PLAIN) shouldStartWith "HTTP/1.1 50"
                    call(STREAM, headers = "X-Prompt-Parts: shared$it:100, own:10\r\n") shouldStartWith "HTTP/1.1 50"
                }
                sur.requests.value.size shouldBe before
                repeat(10) { call(STREAM, key = URGENT_KEY, headers = "X-Prompt-Parts: shared$it:100, own:10\r\n") }
                sur.requests.value.size shouldBeGreaterThan before
            }
            sur.close()
        }

        test("a request without a region that both its route and its organisation allow is refused as not run") {
            val norte = answering()
            withGateway(norte, settings = settings) {
                val both = setOf(Region("norte"), Region("sur"))
                config.set("config", restricted(2, ofRoutes = setOf(Region("sur")), ofOrganisation = both))
                eventually { call(ORDER) shouldContain "no instance in an allowed region" }
                val response = call(ORDER)
                response shouldStartWith "HTTP/1.1 503"
                response shouldContain "\"ran\":\"not run\""
                config.set("config", restricted(3, ofRoutes = both, ofOrganisation = setOf(Region("norte"))))
                eventually { call(ORDER) shouldStartWith "HTTP/1.1 200" }
            }
        }
    })
