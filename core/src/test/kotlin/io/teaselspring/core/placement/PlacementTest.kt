/*
 * Guards the placement of requests under the load of the carriage company's day: long guides whose shared parts fit
 * into the caches only if each is read in one place, beside short greetings that a long prefill would delay.
 */
package io.teaselspring.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId

class PlacementTest :
    FunSpec({
        val localDataCentre = DataCentre("oviedo")

        fun engine(
            id: Int,
            load: Double = 0.0,
            pendingPrefillTokens: Long = 0,
            isEjected: Boolean = false,
        ) = PlacementCandidate(InstanceId("engine-$id"), localDataCentre, 64, load, pendingPrefillTokens, isEjected)

        fun place(
            candidates: List<PlacementCandidate>,
            part: String?,
            group: LatencyGroup = LatencyGroup(1, 2),
            tried: Set<InstanceId> = emptySet(),
        ) = chooseInstance(candidates, PlacementRequest(part, group, localDataCentre), tried, { 0 })?.id

        val engines = (1..8).map { engine(it) }
        val parts = (1..169).map { "part-$it" }

        test("every entry sends a shared part to the same engine, whatever the order in which it lists them") {
            parts.forEach { place(engines, it) shouldBe place(engines.reversed(), it) }
        }

        test("shared parts spread over all engines that are not reserved") {
            val counts = parts.groupingBy { place(engines, it) }.eachCount()
            counts.size shouldBe 7
            counts.values.max() shouldBeLessThan 2 * parts.size / 7
        }

        test("an engine that leaves moves only the parts that it had, while the reserved engines stay the same") {
            val reserved = parts.mapTo(HashSet()) { place(engines, it, group = LatencyGroup(0, 2)) }
            val leaving = engines.first { it.id !in reserved }
            // Seven instances still reserve one.
            val rest = engines - leaving
            parts.filter { place(engines, it) != leaving.id }.forEach { place(rest, it) shouldBe place(engines, it) }
        }

        test("long prompts and short greetings do not share an engine while both groups have sound ones") {
            val guides = parts.mapTo(HashSet()) { place(engines, it) }
            val greetings = parts.mapTo(HashSet()) { place(engines, it, group = LatencyGroup(0, 2)) }
            guides.intersect(greetings) shouldBe emptySet()
            greetings.size shouldBe 1
        }

        test("three sorts of streams get engines of their own, the more the longer their pauses") {
            val groups =
                (0..2).map { index ->
                    parts.mapTo(HashSet()) { place(engines, it, group = LatencyGroup(index, 3)) }
                }
            groups.map { it.size } shouldBe listOf(1, 2, 5)
            groups.flatten().toSet().size shouldBe 8
        }

        test("the group follows from the route's pause, and an upstream with one sort of streams has one group") {
            val eventGaps = listOf(800L, 300L, 200L, 300L)
            latencyGroupOf(200, eventGaps) shouldBe LatencyGroup(0, 3)
            latencyGroupOf(300, eventGaps) shouldBe LatencyGroup(1, 3)
            latencyGroupOf(800, eventGaps) shouldBe LatencyGroup(2, 3)
            latencyGroupOf(null, eventGaps) shouldBe LatencyGroup(2, 3)
            latencyGroupOf(300, listOf(300L, 300L)) shouldBe LatencyGroup.ONLY
            latencyGroupOf(null, emptyList()) shouldBe LatencyGroup.ONLY
        }

        test("a group without a sound engine uses the others") {
            val reserved = parts.mapTo(HashSet()) { place(engines, it, group = LatencyGroup(0, 2)) }
            val broken = engines.map { if (it.id in reserved) it.copy(isEjected = true) else it }
            place(broken, "part-1", group = LatencyGroup(0, 2)) shouldNotBe null
            (place(broken, "part-1", group = LatencyGroup(0, 2)) in reserved) shouldBe false
        }

        test("a part leaves its engine when that has clearly more work than the others, and then goes to one place") {
            val first = place(engines, "part-1")
            val busy = engines.map { if (it.id == first) it.copy(load = 30.0) else it.copy(load = 5.0) }
            val second = place(busy, "part-1")
            second shouldNotBe first
            place(busy.reversed(), "part-1") shouldBe second
        }

        test("a part leaves its engine while that has long prompts to read") {
            val first = place(engines, "part-1")
            val reading = engines.map { if (it.id == first) it.copy(pendingPrefillTokens = 50_000) else it }
            place(reading, "part-1") shouldNotBe first
        }

        test("engines that were tried are not chosen again, and none is left at the end") {
            val tried = LinkedHashSet<InstanceId>()
            repeat(engines.size) { place(engines, "part-1", tried = tried)?.let(tried::add) }
            tried.size shouldBe engines.size
            place(engines, "part-1", tried = tried) shouldBe null
        }

        test("the fleet is never avoided as a whole") {
            place(engines.map { it.copy(isEjected = true) }, "part-1") shouldNotBe null
        }
    })
