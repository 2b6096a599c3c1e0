/*
 * Tests a burst of long prompts that fills its own latency group while the instances of the other groups are idle.
 * Guards against prompts that wait beside idle instances, and against entries that all use the same idle instance.
 */
package io.teaselspring.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.teaselspring.core.InstanceId

private class IdleEngine(
    name: String,
    override val speed: Double = 1.4,
    override val lendsNow: Boolean = true,
) : InstanceView {
    override val id = InstanceId(name)
    override val isEjected = false
    override val load = KnownLoad()
    override val slots = 64
    override val memoryTokens: Long? = null
    override var pendingPrefillTokens = 0L

    override fun uncachedTokens(
        parts: List<PromptPart>,
        isPreferred: Boolean,
    ) = parts.sumOf { it.tokens }
}

private val longPrompts = LatencyGroup(2, 3)

private fun longRequest(id: Long) =
    QueuedRequest(
        id,
        listOf(PromptPart("coast", 13_300), PromptPart("own-$id", 3_700)),
        longPrompts,
        priority = 2,
        arrivedMs = 0,
        lateAfterMs = 1_500,
        refuseAfterMs = 2_400,
    )

private fun idsOfGroup(
    engines: List<IdleEngine>,
    group: Int,
) = partitionInstances(engines.map { it.id }, 3).filterValues { it == group }.keys

/** Fills the last group of [engines], dispatches one long prompt and returns what starts. */
private fun startInFullGroup(engines: List<IdleEngine>): List<QueueDecision.Start> {
    val longIds = idsOfGroup(engines, 2)
    engines.filter { it.id in longIds }.forEach { it.pendingPrefillTokens = 100_000 }
    val queue = RequestQueue { 1 }
    queue.add(longRequest(1))
    val starts = mutableListOf<QueueDecision.Start>()
    queue.dispatch(0, engines, 3) { starts += it }
    return starts
}

class IdleInstancesTest :
    FunSpec({
        fun engines(
            speed: Double = 1.4,
            lendsNow: Boolean = true,
        ) = (1..10).map { IdleEngine("engine-$it", speed, lendsNow) }

        test("a long prompt whose group is full goes to an idle instance, and its shared part comes from the holder") {
            val engines = engines()
            val start = startInFullGroup(engines).single()
            (start.instance in idsOfGroup(engines, 1)) shouldBe true
            (start.holder in idsOfGroup(engines, 2)) shouldBe true
        }

        test("an instance that is slower than usual takes none, because a chunk would exceed the gaps of its group") {
            startInFullGroup(engines(speed = 0.6)).shouldBeEmpty()
        }

        test("the first group lends none, because the most urgent streams run there") {
            val engines = engines()
            val middle = idsOfGroup(engines, 1)
            engines.filter { it.id in middle }.forEach { it.pendingPrefillTokens = 1 }
            startInFullGroup(engines).shouldBeEmpty()
        }

        test("an instance that another entry may use takes none") {
            startInFullGroup(engines(lendsNow = false)).shouldBeEmpty()
        }

        test("an instance with a pending prompt, or with half of its slots taken, takes none") {
            val pending = engines().onEach { it.pendingPrefillTokens = 1 }
            startInFullGroup(pending).shouldBeEmpty()
            val loaded = engines().onEach { engine -> repeat(30) { engine.load.requestStarted(0) } }
            startInFullGroup(loaded).shouldBeEmpty()
        }

        test("a request whose own instance has room stays there and names no holder") {
            val queue = RequestQueue { 1 }
            queue.add(longRequest(1))
            val starts = mutableListOf<QueueDecision.Start>()
            queue.dispatch(0, engines(), 3) { starts += it }
            starts shouldHaveSize 1
            starts.single().holder shouldBe null
        }

        test("about one entry at a time may use an idle instance, with 24, 100 and 330 entries") {
            listOf(24, 100, 330).forEach { entries ->
                val names = (1..entries).map { "entry-$it" }
                val counts = (0L until 200).map { s -> names.count { isLentTo(it, "engine-1", entries, s * 1_000) } }
                counts.sum() shouldBeInRange 140..260
                // Prompts of more than four entries at once would delay the instance's own group; allowed in 2 %.
                counts.count { it > 4 } shouldBeInRange 0..4
            }
        }
    })
