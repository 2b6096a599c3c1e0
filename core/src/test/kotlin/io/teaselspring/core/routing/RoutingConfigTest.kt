/*
 * Guards against a request that is served on the wrong route, with an unknown key, or at the wrong priority.
 */
package io.teaselspring.core.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.teaselspring.core.DataCentre
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.Region
import io.teaselspring.core.UpstreamName

class RoutingConfigTest :
    FunSpec({
        val upstream = UpstreamName("narradores")

        fun route(
            name: String,
            prefix: String,
            isPublic: Boolean = false,
        ) = RequestRoute(
            name,
            "rides.example",
            prefix,
            RouteKind.IDEMPOTENT,
            listOf(WeightedUpstream(upstream, 1)),
            timeoutMs = 600,
            targetLatencyMs = 100,
            maxEventGapMs = null,
            priority = 2,
            maxAttempts = 2,
            isPublic,
            isResumable = false,
        )

        val config =
            RoutingConfig(
                7,
                listOf(route("all", "/"), route("deep", "/a/b/"), route("open", "/open/", isPublic = true)),
                listOf(
                    CallerOrganisation(OrganisationId("hotel"), setOf("k1", "k2"), priority = 0),
                    CallerOrganisation(OrganisationId("coach"), setOf("k3"), priority = null),
                ),
            )

        // Guards against a request that leaves the regions of its organisation on a route with other ones.
        test("a request may reach the regions that both its route and its organisation allow") {
            val norte = Region("norte")
            val sur = Region("sur")

            fun allowed(
                ofRoute: Set<Region>?,
                ofOrganisation: Set<Region>?,
            ): Set<Region>? {
                val organisation = CallerOrganisation(OrganisationId("hotel"), setOf("k1"), null, ofOrganisation)
                return RoutingDecision
                    .Allowed(
                        route("all", "/").copy(allowedRegions = ofRoute),
                        organisation,
                    ).allowedRegions
            }
            allowed(null, null) shouldBe null
            allowed(setOf(norte), null) shouldBe setOf(norte)
            allowed(null, setOf(sur)) shouldBe setOf(sur)
            allowed(setOf(norte, sur), setOf(sur)) shouldBe setOf(sur)
            allowed(setOf(norte), setOf(sur)) shouldBe emptySet()
            allowed(emptySet(), null) shouldBe emptySet()
        }

        // Guards against a data centre of an unknown region that counts as allowed.
        test("only data centres that are known to be in a region are in it") {
            val regions = mapOf(DataCentre("oviedo") to Region("norte"), DataCentre("cadiz") to Region("sur"))
            regions.dataCentresIn(setOf(Region("norte"), Region("este"))) shouldBe setOf(DataCentre("oviedo"))
            regions.dataCentresIn(null) shouldBe null
            regions.dataCentresIn(setOf(Region("norte"))).allows(DataCentre("gijon")) shouldBe false
        }

        test("the longest prefix wins, and a prefix ends at a slash") {
            config.route("rides.example", "/a/b/c")?.name shouldBe "deep"
            config.route("rides.example", "/a/bc")?.name shouldBe "all"
            config.route("other.example", "/a/b/c") shouldBe null
        }

        test("a request without a known key is not allowed, except on a public route") {
            config.decide("rides.example", "/x", null) shouldBe RoutingDecision.UnknownKey
            config.decide("rides.example", "/x", "unknown") shouldBe RoutingDecision.UnknownKey
            config
                .decide(
                    "rides.example",
                    "/open/x",
                    null,
                ).shouldBeInstanceOf<RoutingDecision.Allowed>()
                .organisation shouldBe
                null
        }

        test("each key of an organisation is accepted, and its priority overrides the route's") {
            val hotel = config.decide("rides.example", "/x", "k2").shouldBeInstanceOf<RoutingDecision.Allowed>()
            hotel.organisation?.id shouldBe OrganisationId("hotel")
            hotel.priority shouldBe 0
            config.decide("rides.example", "/x", "k3").shouldBeInstanceOf<RoutingDecision.Allowed>().priority shouldBe 2
        }

        test("weights decide how often an upstream is picked, and one of weight 0 never is") {
            val weighted =
                listOf(
                    WeightedUpstream(UpstreamName("a"), 90),
                    WeightedUpstream(UpstreamName("b"), 10),
                    WeightedUpstream(UpstreamName("c"), 0),
                )
            val picks = (0 until 100).map { n -> pickUpstream(weighted) { n }?.value }
            picks.groupingBy { it }.eachCount() shouldBe mapOf("a" to 90, "b" to 10)
        }

        // A stream must be resumed at the upstream that began it, by any entry and after most changes of the weights.
        test("an upstream is picked for a stream by weight, and only as many streams move as shares change") {
            fun picks(
                a: Int,
                b: Int,
            ): List<String?> {
                val weighted = listOf(WeightedUpstream(UpstreamName("a"), a), WeightedUpstream(UpstreamName("b"), b))
                return (1..10_000).map { pickUpstreamOf("stream-$it", weighted)?.value }
            }
            picks(90, 10).count { it == "b" } shouldBeInRange 900..1_100
            picks(9, 1) shouldBe picks(90, 10)
            picks(100, 0).distinct() shouldBe listOf("a")
            val moved = picks(90, 10).zip(picks(80, 20)).filter { (before, after) -> before != after }
            moved.distinct() shouldBe listOf("a" to "b")
            moved.size shouldBeInRange 900..1_100
            pickUpstreamOf("stream-1", emptyList()) shouldBe null
        }
    })
