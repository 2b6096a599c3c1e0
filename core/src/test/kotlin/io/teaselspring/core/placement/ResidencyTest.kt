/*
 * Guards against requests that are placed outside the data centres that they may reach.
 */
package io.teaselspring.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId

private val OVIEDO = DataCentre("oviedo")
private val GIJON = DataCentre("gijon")
private const val REFUSE_AFTER_MS = 2_000L

private class SitedEngine(
    name: String,
    override val dataCentre: DataCentre?,
    override val isEjected: Boolean = false,
) : InstanceView {
    override val id = InstanceId(name)
    override val load = KnownLoad()
    override val slots: Int? = null
    override val memoryTokens: Long? = null
    override var pendingPrefillTokens = 0L

    override fun uncachedTokens(
        parts: List<PromptPart>,
        isPreferred: Boolean,
    ) = parts.sumOf { it.tokens }
}

private fun queued(
    id: Long,
    allowed: Set<DataCentre>?,
    group: LatencyGroup = LatencyGroup.ONLY,
) = QueuedRequest(
    id,
    listOf(PromptPart("shared-$id", 1_000), PromptPart("own-$id", 9_000)),
    group,
    priority = 1,
    arrivedMs = 0,
    lateAfterMs = 1_000,
    refuseAfterMs = REFUSE_AFTER_MS,
    InstanceRestriction(allowed),
)

/** The data centres that the queue places on until no engine has room. */
private fun RequestQueue.placed(
    engines: List<SitedEngine>,
    nowMs: Long,
    groups: Int = 1,
): List<DataCentre?> {
    val dataCentres = ArrayList<DataCentre?>()
    dispatch(nowMs, engines, groups) { start ->
        val engine = engines.first { it.id == start.instance }
        engine.pendingPrefillTokens += start.request.parts.sumOf { it.tokens }
        engine.load.requestStarted(0)
        dataCentres += engine.dataCentre
    }
    return dataCentres
}

class ResidencyTest :
    FunSpec({
        val engines = { (0..7).map { SitedEngine("engine-$it", if (it < 4) OVIEDO else GIJON) } }

        test("a queued request goes only to its data centres, also when it spills over and when others have room") {
            val queue = RequestQueue { 1 }
            repeat(40) { queue.add(queued(it.toLong(), setOf(GIJON))) }
            val sites = engines()
            (queue.placed(sites, 0) + queue.placed(sites, 600)).toSet() shouldBe setOf(GIJON)
            (queue.size > 0) shouldBe true
        }

        test("a request of a group with short gaps overflows only to its data centres") {
            val queue = RequestQueue { 1 }
            (0 until 3).forEach { index ->
                repeat(40) { queue.add(queued(index * 100L + it, setOf(GIJON), LatencyGroup(index, 3))) }
            }
            queue.placed(engines(), 600, groups = 3).toSet() shouldBe setOf(GIJON)
        }

        test("ejected instances of its data centres are used before healthy ones elsewhere") {
            val sites = listOf(SitedEngine("a", OVIEDO), SitedEngine("b", GIJON, isEjected = true))
            val queue = RequestQueue { 1 }
            queue.add(queued(1, setOf(GIJON)))
            queue.add(queued(2, null))
            queue.placed(sites, 0) shouldContainExactly listOf(GIJON, OVIEDO)
        }

        test("a request without an instance in its data centres is refused in time") {
            val queue = RequestQueue { 1 }
            queue.add(queued(1, emptySet()))
            val sites = engines() + SitedEngine("unknown", dataCentre = null)
            queue.placed(sites, 0).shouldBeEmpty()
            queue.dispatch(REFUSE_AFTER_MS, sites, 1) { }.map { it.request.id } shouldContainExactly listOf(1)
        }

        test("a request that no queue dispatches goes only to its data centres, also when all there are ejected") {
            fun candidate(
                name: String,
                dataCentre: DataCentre,
                isEjected: Boolean = false,
            ) = PlacementCandidate(InstanceId(name), dataCentre, 64, 0.0, 0, isEjected)

            fun choose(
                allowed: Set<DataCentre>?,
                part: String?,
            ) = chooseInstance(
                listOf(candidate("a", OVIEDO), candidate("b", GIJON, isEjected = true)),
                PlacementRequest(part, LatencyGroup.ONLY, OVIEDO, InstanceRestriction(allowed)),
                emptySet(),
                { 0 },
            )?.dataCentre
            choose(setOf(GIJON), part = null) shouldBe GIJON
            choose(setOf(GIJON), part = "p") shouldBe GIJON
            choose(emptySet(), part = "p") shouldBe null
            choose(null, part = null) shouldBe OVIEDO
        }
    })
