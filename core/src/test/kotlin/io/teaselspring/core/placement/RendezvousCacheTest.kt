package io.teaselspring.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.teaselspring.core.InstanceId

private fun instances(numbers: IntRange): List<InstanceView> =
    numbers.map { number ->
        object : InstanceView {
            override val id = InstanceId("instance-$number")
            override val isEjected = false
            override val load = KnownLoad()
            override val slots: Int? = null
            override val memoryTokens: Long? = null
            override val pendingPrefillTokens = 0L

            override fun uncachedTokens(
                parts: List<PromptPart>,
                isPreferred: Boolean,
            ) = 0L
        }
    }

/** Lists of which each differs from the one before: by one more, by others in the same number, by order, by none. */
private val lists =
    listOf(
        instances(1..9),
        instances(1..10),
        instances(2..11),
        instances(2..11).reversed(),
        emptyList(),
        instances(1..9),
    )

// Guards against a queue that sends requests by the instances of an earlier dispatch.
class RendezvousCacheTest :
    FunSpec({
        test("the partition is that of the present instances and groups") {
            val cache = RendezvousCache()
            lists.forEach { instances ->
                val ids = instances.map { it.id }
                listOf(2, 3, 3).forEach { cache.partition(ids, it) shouldBe partitionInstances(ids, it) }
                listOf(GroupShares.INITIAL, GroupShares(listOf(0.4)), GroupShares.FIXED).forEach {
                    cache.partition(ids, 3, it) shouldBe partitionInstances(ids, 3, it)
                }
            }
        }

        test("the preferred instance of a part is the first of the present instances in its rendezvous order") {
            val cache = RendezvousCache()
            val parts = (1..20).map { "part-$it" }
            lists.forEach { instances ->
                repeat(2) {
                    val preferred = cache.preferredInstances(PoolKey(LatencyGroup.ONLY), instances)
                    parts.map { part -> preferred.positionFor(part)?.let { instances[it].id } } shouldBe
                        parts.map { part -> instances.maxByOrNull { rendezvousWeight(part, it.id) }?.id }
                }
            }
        }

        test("each latency group has preferred instances of its own") {
            val cache = RendezvousCache()
            val (first, second) = listOf(instances(1..4), instances(5..8))
            repeat(2) {
                listOf(first, second).forEachIndexed { index, instances ->
                    val position =
                        cache
                            .preferredInstances(
                                PoolKey(LatencyGroup(index, 2)),
                                instances,
                            ).positionFor("part")
                    position shouldBe instances.indices.maxBy { rendezvousWeight("part", instances[it].id) }
                }
            }
        }
    })
