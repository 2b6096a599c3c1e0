/*
 * Guards against requests that leave their data centre without need, against those that wait at home while others have
 * free slots, and against a data centre that all neighbours flood at the same time because they see the same reports.
 */
package io.teaselspring.core.placement

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import kotlin.random.Random

private const val SLOTS = 6
private const val SERVICE_MS = 20.0

private fun dataCentres(count: Int) = (0 until count).map { DataCentre("dc-$it") }

private fun instance(
    dataCentre: DataCentre,
    load: Double,
    number: Int = 0,
    own: Int = 0,
) = PlacementCandidate(
    InstanceId("${dataCentre.value}-$number"),
    dataCentre,
    SLOTS,
    load,
    pendingPrefillTokens = 0,
    isEjected = false,
    ownRequests = own,
)

private fun context(
    home: DataCentre,
    entries: Int = 24,
    roundTripMs: Double = 1.0,
    bytes: Double = 2_000.0,
    policy: LeavingPolicy = LeavingPolicy(),
) = LeavingContext(home, entries, SERVICE_MS, policy) { policy.costMs(roundTripMs, bytes) }

class LeavingDataCentreTest :
    FunSpec({
        test("requests stay at home while it has free slots, also if another data centre is idle") {
            val (home, other) = dataCentres(2)
            val random = Random(1)
            repeat(200) {
                val chosen =
                    chooseAcrossDataCentres(
                        listOf(instance(home, load = 3.0), instance(other, load = 0.0)),
                        context(home),
                        random::nextDouble,
                    )
                chosen?.dataCentre shouldBe home
            }
        }

        test("slow links and expensive bytes keep requests at home that would leave otherwise") {
            val (home, other) = dataCentres(2)
            val candidates = listOf(instance(home, load = 12.0), instance(other, load = 0.0))

            fun leaves(context: LeavingContext): Boolean {
                val random = Random(2)
                return (1..50).any {
                    chooseAcrossDataCentres(candidates, context, random::nextDouble)?.dataCentre ==
                        other
                }
            }
            leaves(context(home, entries = 2)) shouldBe true
            leaves(context(home, entries = 2, roundTripMs = 80.0)) shouldBe false
            leaves(context(home, entries = 2, bytes = 5_000_000.0)) shouldBe false
            leaves(
                context(home, entries = 2, bytes = 5_000_000.0, policy = LeavingPolicy(remoteGbCostMs = 0.0)),
            ) shouldBe
                true
        }

        // All entries see the reports of the same moment, and each has some requests to place.
        test("when all but one overflow together, the one with free slots is not flooded") {
            listOf(2, 4, 6).forEach { count ->
                withClue("$count data centres") {
                    val all = dataCentres(count)
                    val free = all.last()
                    val reported = all.associateWith { if (it == free) 2.0 else 14.0 }
                    val entries = 24
                    val random = Random(count)
                    var arrived = 0
                    (0 until entries).map { all[it % count] }.filter { it != free }.forEach { home ->
                        var own = 0
                        repeat(3) {
                            val candidates =
                                all.map {
                                    instance(
                                        it,
                                        reported.getValue(it) +
                                            if (it ==
                                                free
                                            ) {
                                                own
                                            } else {
                                                0
                                            },
                                        own = if (it == free) own else 0,
                                    )
                                }
                            val chosen = chooseAcrossDataCentres(candidates, context(home, entries), random::nextDouble)
                            if (chosen?.dataCentre == free) own += 1
                        }
                        arrived += own
                    }
                    arrived shouldBeGreaterThan 0
                    arrived shouldBeLessThanOrEqualTo 2 * SLOTS
                }
            }
        }

        test("a lost data centre's requests go where slots are free, in proportion") {
            val all = dataCentres(4)
            val lost = all.first()
            val loads = mapOf(all[1] to 0.0, all[2] to 3.0, all[3] to 6.0)
            val random = Random(7)
            val arrived =
                (1..900)
                    .mapNotNull {
                        val candidates = loads.map { (dataCentre, load) -> instance(dataCentre, load) }
                        chooseAcrossDataCentres(candidates, context(lost), random::nextDouble)
                    }.groupingBy { it.dataCentre }
                    .eachCount()
            arrived[all[3]] shouldBe null
            arrived.getValue(all[1]).toDouble() / arrived.getValue(all[2]) shouldBeGreaterThan 1.5
        }

        test("a full upstream still gets the request of an entry without instances at home") {
            val all = dataCentres(2)
            val chosen = chooseAcrossDataCentres(listOf(instance(all[1], load = 20.0)), context(all[0])) { 0.5 }
            chosen?.dataCentre shouldBe all[1]
            chooseAcrossDataCentres(emptyList(), context(all[0])) { 0.5 } shouldBe null
        }

        test("uneven data centres: the larger one takes more of the overflow") {
            val (home, small, large) = dataCentres(3)
            val random = Random(11)
            val candidates =
                listOf(instance(home, load = 18.0), instance(small, load = 3.0)) +
                    (0 until 4).map { instance(large, 3.0, it) }
            val arrived =
                (1..600)
                    .mapNotNull { chooseAcrossDataCentres(candidates, context(home, entries = 30), random::nextDouble) }
                    .groupingBy { it.dataCentre }
                    .eachCount()
            arrived.getValue(large) shouldBeGreaterThan arrived.getOrDefault(small, 0)
        }
    })
