/*
 * Guards against organisations that take the capacity of others by sending more, by retrying at once or by long
 * outputs, and against an order that wastes capacity, penalises a burst of a small organisation or lets a lower
 * priority pass a higher one.
 */
package io.teaselspring.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.teaselspring.core.InstanceId
import io.teaselspring.core.OrganisationId

private const val TICK_MS = 20L
private const val PROMPT_TOKENS = 4_000L

/** Four engines read 10 prompts a second each. */
private const val TOKENS_PER_TICK = 800L
private const val CAPACITY_PER_S = 40
private const val TARGET_MS = 1_500L

private class ReadingEngine(
    name: String,
) : InstanceView {
    override val id = InstanceId(name)
    override val isEjected = false
    override val load = KnownLoad()
    override val slots: Int? = null
    override val memoryTokens: Long? = null
    override var pendingPrefillTokens = 0L

    override fun uncachedTokens(
        parts: List<PromptPart>,
        isPreferred: Boolean,
    ) = parts.sumOf { it.tokens }
}

/** [arrivals] returns how many requests the organisation sends in the tick at a time. */
private class TestOrganisation(
    val name: String,
    val priority: Int = 2,
    val outputTokens: Long = 100,
    val retriesAtOnce: Boolean = false,
    val arrivals: (nowMs: Long) -> Int,
) {
    var served = 0
    var refused = 0
    var late = 0

    /** Of the requests that no longer wait. */
    val servedShare get() = served.toDouble() / (served + refused)
}

/** Sends [perSecond] requests at even intervals. */
private fun every(perSecond: Int): (Long) -> Int =
    { nowMs -> ((nowMs + TICK_MS) * perSecond / 1_000 - nowMs * perSecond / 1_000).toInt() }

private fun play(
    organisations: List<TestOrganisation>,
    fairShares: Boolean = true,
    durationMs: Long = 10_000,
) {
    val engines = List(4) { ReadingEngine("engine-$it") }
    val queue = RequestQueue(QueuePolicy(windowTokens = 2 * PROMPT_TOKENS, spillAfterMs = 100)) { 1 }
    var lastId = 0L

    fun add(
        organisation: TestOrganisation,
        nowMs: Long,
    ) {
        val id = ++lastId
        val prompt = listOf(PromptPart("own-$id", PROMPT_TOKENS))
        val owner = OrganisationId(organisation.name)
        val late = nowMs + TARGET_MS * 4 / 5
        val refuse = nowMs + TARGET_MS * 6 / 5
        queue.add(
            QueuedRequest(
                id,
                prompt,
                LatencyGroup.ONLY,
                organisation.priority,
                nowMs,
                late,
                refuse,
                organisation = owner,
            ),
        )
    }
    for (nowMs in 0 until durationMs step TICK_MS) {
        engines.forEach { it.pendingPrefillTokens = maxOf(0, it.pendingPrefillTokens - TOKENS_PER_TICK) }
        organisations.forEach { sender ->
            repeat(sender.arrivals(nowMs)) { add(sender, nowMs) }
        }
        val refused =
            queue.dispatch(nowMs, engines, 1, fairShares = fairShares) { start ->
                val sender = organisations.single { it.name == start.request.organisation?.value }
                sender.served += 1
                if (nowMs >= start.request.lateAfterMs) sender.late += 1
                engines.single { it.id == start.instance }.pendingPrefillTokens += PROMPT_TOKENS
                queue.settle(start.charge, sender.outputTokens)
            }
        refused.forEach { decision ->
            val sender = organisations.single { it.name == decision.request.organisation?.value }
            sender.refused += 1
            if (sender.retriesAtOnce) add(sender, nowMs)
        }
    }
}

class OrganisationOrderTest :
    FunSpec({
        fun small(count: Int) = List(count) { TestOrganisation("small-$it", arrivals = every(4)) }

        listOf(false, true).forEach { retriesAtOnce ->
            test("an organisation at eight times its usual level, retrying at once: $retriesAtOnce, harms no other") {
                fun large() = TestOrganisation("large", retriesAtOnce = retriesAtOnce, arrivals = every(32))
                val others = small(7)
                play(others + large())
                others.sumOf { it.refused } shouldBe 0
                val byArrival = small(7)
                play(byArrival + large(), fairShares = false)
                byArrival.sumOf { it.refused } shouldBeGreaterThan 0
            }
        }

        test("a burst of a small organisation is served in time although large ones have filled the queue") {
            val large = List(2) { TestOrganisation("large-$it", arrivals = every(40)) }
            val burst = TestOrganisation("small") { if (it == 5_000L) 10 else 0 }
            play(large + burst)
            burst.served shouldBe 10
            burst.late shouldBe 0
        }

        test("shares that an organisation does not use go to others at once") {
            val large = TestOrganisation("large", arrivals = every(60))
            val idle = TestOrganisation("idle") { if (it % 1_000 == 0L) 1 else 0 }
            play(listOf(large, idle))
            idle.servedShare shouldBe 1.0
            (large.served + idle.served).toDouble() shouldBeGreaterThan 0.95 * CAPACITY_PER_S * 10
        }

        test("a higher priority does not wait for a lower one, whatever its organisation has had") {
            val urgent = TestOrganisation("large", priority = 1, arrivals = every(34))
            val other = TestOrganisation("small", priority = 2, arrivals = every(30))
            play(listOf(other, urgent))
            urgent.servedShare shouldBeGreaterThan 0.97
            urgent.late shouldBe 0
        }

        test("an organisation with long outputs gets as much engine time as others, not as many requests") {
            val long = TestOrganisation("long", outputTokens = 1_600, arrivals = every(40))
            val short = TestOrganisation("short", outputTokens = 100, arrivals = every(40))
            play(listOf(long, short))
            // 20,000 tokens of engine time against 5,000.
            (short.served.toDouble() / long.served).let {
                it shouldBeGreaterThan 3.0
                it shouldBeLessThan 5.0
            }
        }

        test("requests that can still meet their target go first, and without fair shares the order is by arrival") {
            fun startsOf(fairShares: Boolean): List<Long> {
                val queue = RequestQueue { 1 }
                val owners = listOf("a", "a", "a", "b", "b")
                owners.forEachIndexed { index, owner ->
                    val late = if (index == 0) 10L else TARGET_MS
                    val parts = listOf(PromptPart("own-$index", PROMPT_TOKENS))
                    val owner = OrganisationId(owner)
                    queue.add(
                        QueuedRequest(
                            index.toLong(),
                            parts,
                            LatencyGroup.ONLY,
                            2,
                            index.toLong(),
                            late,
                            TARGET_MS,
                            organisation = owner,
                        ),
                    )
                }
                val starts = mutableListOf<Long>()
                queue.dispatch(20, listOf(ReadingEngine("engine")), 1, fairShares = fairShares) {
                    starts +=
                        it.request.id
                }
                return starts
            }
            startsOf(fairShares = true) shouldContainExactly listOf(1, 3, 2, 4, 0)
            startsOf(fairShares = false) shouldContainExactly listOf(1, 2, 3, 4, 0)
        }
    })
