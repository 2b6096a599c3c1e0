/*
 * Guards against evacuations that end without a deletion, and against bursts on a data centre that returns to service.
 */
package io.teaselspring.core.registry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre
import kotlin.random.Random

private val OVIEDO = DataCentre("oviedo")
private val GIJON = DataCentre("gijon")
private const val SLOTS = 64
private const val ENTRIES = 24
private val SOLE_ENTRY = RampShare(SLOTS, entries = 1, phase = 0.0)

/** Requests that an instance in [dataCentre] gets from one entry that has more than enough. */
private fun Evacuations.admitted(
    dataCentre: DataCentre,
    share: RampShare,
    nowMs: Long,
): Int = generateSequence(0) { it + 1 }.first { it > SLOTS || !admits(dataCentre, it, share, nowMs) }

class EvacuationsTest :
    FunSpec({
        test("a data centre is evacuated from the time of its row until the row is deleted") {
            val evacuations = Evacuations()
            evacuations.admits(OVIEDO, 0, SOLE_ENTRY, 0) shouldBe true
            evacuations.apply(mapOf("e/1" to OVIEDO), 100) shouldContainExactly listOf(EvacuationChange.Began(OVIEDO))
            evacuations.admits(OVIEDO, 0, SOLE_ENTRY, 1_000_000) shouldBe false
            evacuations.admits(GIJON, 0, SOLE_ENTRY, 1_000_000) shouldBe true
            evacuations.apply(mapOf("e/2" to null, "config" to null), 200).shouldBeEmpty()
            evacuations.evacuated shouldBe setOf(OVIEDO)
            evacuations.apply(mapOf("e/1" to null), 400) shouldContainExactly
                listOf(EvacuationChange.Ended(OVIEDO, evacuatedMs = 300, rampMs = 300))
        }

        // A deletion of one row must not return the data centre of another.
        test("each of several data centres returns with its own row") {
            val evacuations = Evacuations()
            evacuations.replaceAll(mapOf("e/1" to OVIEDO, "e/2" to GIJON), 0)
            evacuations.apply(mapOf("e/2" to null), 10_000)
            evacuations.evacuated shouldBe setOf(OVIEDO)
            evacuations.admits(GIJON, SLOTS, SOLE_ENTRY, 20_000) shouldBe true
        }

        // A complete read is the only proof that a row is absent after an outage or a restore.
        test("a complete read ends the evacuations that it lacks and begins those that it has") {
            val evacuations = Evacuations()
            evacuations.apply(mapOf("e/1" to OVIEDO), 0)
            evacuations.replaceAll(mapOf("e/2" to GIJON), 100) shouldContainExactly
                listOf(EvacuationChange.Ended(OVIEDO, 100, 100), EvacuationChange.Began(GIJON))
        }

        test("after a return the requests of all entries together rise from few to many") {
            val evacuations = Evacuations()
            evacuations.apply(mapOf("e/1" to OVIEDO), 0)
            evacuations.apply(mapOf("e/1" to null), 60_000)
            val random = Random(1)
            val phases = List(ENTRIES) { random.nextDouble() }

            fun together(sinceMs: Long) =
                phases.sumOf { evacuations.admitted(OVIEDO, RampShare(SLOTS, ENTRIES, it), 60_000 + sinceMs) }
            together(0) shouldBe 0
            together(600) shouldBeInRange 1..SLOTS / 2
            together(3_000) shouldBeInRange SLOTS..ENTRIES * SLOTS / 4
            together(6_000) shouldBe ENTRIES * (SLOTS + 1)
        }

        test("an entry alone may have the usual number of requests at the end of the ramp") {
            val evacuations = Evacuations()
            evacuations.apply(mapOf("e/1" to OVIEDO), 0)
            evacuations.apply(mapOf("e/1" to null), 60_000)
            evacuations.admitted(OVIEDO, SOLE_ENTRY, 60_000) shouldBe 0
            evacuations.admitted(OVIEDO, SOLE_ENTRY, 63_000) shouldBe SLOTS / 2
            evacuations.isReturning(OVIEDO, 65_999) shouldBe true
            evacuations.isReturning(OVIEDO, 66_000) shouldBe false
        }

        // The row of a second, short evacuation must not shorten the ramp after the first.
        test("a short evacuation within a ramp starts the whole ramp again") {
            val evacuations = Evacuations()
            evacuations.apply(mapOf("e/1" to OVIEDO), 0)
            evacuations.apply(mapOf("e/1" to null), 60_000)
            evacuations.apply(mapOf("e/1" to OVIEDO), 61_000)
            evacuations.isReturning(OVIEDO, 61_000) shouldBe false
            evacuations.apply(mapOf("e/1" to null), 61_010) shouldContainExactly
                listOf(EvacuationChange.Ended(OVIEDO, evacuatedMs = 10, rampMs = 6_000))
        }
    })
