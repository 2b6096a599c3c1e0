/*
 * Tests placement under a mixed load: long prompts whose shared parts fit into the prefix caches only if each part is
 * prefilled on one engine, beside short prompts that a long prefill would delay.
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

        test("the engine of a shared part does not depend on the order of the candidates") {
            parts.forEach { place(engines, it) shouldBe place(engines.reversed(), it) }
        }

        test("shared parts are spread over all engines of their group") {
            val counts = parts.groupingBy { place(engines, it) }.eachCount()
            counts.size shouldBe 7
            counts.values.max() shouldBeLessThan 2 * parts.size / 7
        }

        test("the removal of an engine outside group 0 moves only the parts that were placed on it") {
            val interactive = parts.mapTo(HashSet()) { place(engines, it, group = LatencyGroup(0, 2)) }
            val removed = engines.first { it.id !in interactive }
            // With seven instances, group 0 still has one.
            val remaining = engines - removed
            val unmoved = parts.filter { place(engines, it) != removed.id }
            unmoved.forEach { place(remaining, it) shouldBe place(engines, it) }
        }

        test("long and short prompts do not share an engine while both groups have healthy ones") {
            val longPromptEngines = parts.mapTo(HashSet()) { place(engines, it) }
            val shortPromptEngines = parts.mapTo(HashSet()) { place(engines, it, group = LatencyGroup(0, 2)) }
            longPromptEngines.intersect(shortPromptEngines) shouldBe emptySet()
            shortPromptEngines.size shouldBe 1
        }

        test("three latency groups have separate engines, and more of them the longer their event gaps") {
            val groups =
                (0..2).map { index ->
                    parts.mapTo(HashSet()) { place(engines, it, group = LatencyGroup(index, 3)) }
                }
            groups.map { it.size } shouldBe listOf(1, 2, 5)
            groups.flatten().toSet().size shouldBe 8
        }

        test("the event gap of a route decides the group, and an upstream with one event gap has one group") {
            val eventGaps = listOf(800L, 300L, 200L, 300L)
            latencyGroupOf(200, eventGaps) shouldBe LatencyGroup(0, 3)
            latencyGroupOf(300, eventGaps) shouldBe LatencyGroup(1, 3)
            latencyGroupOf(800, eventGaps) shouldBe LatencyGroup(2, 3)
            latencyGroupOf(null, eventGaps) shouldBe LatencyGroup(2, 3)
            latencyGroupOf(300, listOf(300L, 300L)) shouldBe LatencyGroup.ONLY
            latencyGroupOf(null, emptyList()) shouldBe LatencyGroup.ONLY
        }

        test("a group without a healthy engine uses those of other groups") {
            val interactive = parts.mapTo(HashSet()) { place(engines, it, group = LatencyGroup(0, 2)) }
            val ejected = engines.map { if (it.id in interactive) it.copy(isEjected = true) else it }
            place(ejected, "part-1", group = LatencyGroup(0, 2)) shouldNotBe null
            (place(ejected, "part-1", group = LatencyGroup(0, 2)) in interactive) shouldBe false
        }

        test("a part spills over from an engine with far more load than the others, always to the same engine") {
            val first = place(engines, "part-1")
            val busy = engines.map { if (it.id == first) it.copy(load = 30.0) else it.copy(load = 5.0) }
            val second = place(busy, "part-1")
            second shouldNotBe first
            place(busy.reversed(), "part-1") shouldBe second
        }

        test("a part spills over from an engine with many pending prefill tokens") {
            val first = place(engines, "part-1")
            val prefilling = engines.map { if (it.id == first) it.copy(pendingPrefillTokens = 50_000) else it }
            place(prefilling, "part-1") shouldNotBe first
        }

        test("engines that were tried are not chosen again, and none is chosen when all were tried") {
            val tried = LinkedHashSet<InstanceId>()
            repeat(engines.size) { place(engines, "part-1", tried = tried)?.let(tried::add) }
            tried.size shouldBe engines.size
            place(engines, "part-1", tried = tried) shouldBe null
        }

        test("an engine is chosen although all are ejected") {
            place(engines.map { it.copy(isEjected = true) }, "part-1") shouldNotBe null
        }
    })
