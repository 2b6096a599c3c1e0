/*
 * Guards the queue under the carriage company's bursts of long guides: shared parts that are read again and again,
 * instances that queue more than they can read in time, and urgent requests that wait behind large ones.
 */
package io.teaselspring.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.teaselspring.core.InstanceId

/** An instance that has read the shared parts in [read]. */
private class TestEngine(
    name: String,
    override var pendingPrefillTokens: Long = 0,
    override var load: Double = 0.0,
    override var isEjected: Boolean = false,
) : InstanceView {
    override val id = InstanceId(name)
    val read = HashSet<String>()

    override fun uncachedTokens(
        parts: List<PromptPart>,
        isPreferred: Boolean,
    ) = parts.filter { it.id !in read }.sumOf { it.tokens }
}

private val greetings = LatencyGroup(0, 2)
private val guides = LatencyGroup(1, 2)

private fun rankedFirst(engines: List<TestEngine>) = engines.maxBy { partitionRank(it.id) }.id

private const val TARGET_MS = 1_500L

private const val ENTRIES = 5

/** Small limits, which one or two requests reach. */
private val narrow = QueuePolicy(windowTokens = 40_000, interactiveWindowTokens = 20_000, spillAfterMs = 100)

class RequestQueueTest :
    FunSpec({
        var lastId = 0L

        fun guide(
            subject: String,
            arrivedMs: Long = 0,
            priority: Int = 2,
            group: LatencyGroup = LatencyGroup.ONLY,
        ): QueuedRequest {
            val id = ++lastId
            return QueuedRequest(
                id,
                listOf(PromptPart(subject, 13_300), PromptPart("own-$id", 3_700)),
                group,
                priority,
                arrivedMs,
                lateAfterMs = arrivedMs + TARGET_MS,
                refuseAfterMs = arrivedMs + 2 * TARGET_MS,
            )
        }

        /** Dispatches, and lets the instances take up what is started. */
        fun RequestQueue.run(
            nowMs: Long,
            engines: List<TestEngine>,
            groups: Int = 1,
        ): Pair<List<QueueDecision.Start>, List<QueueDecision.Refuse>> {
            val starts = mutableListOf<QueueDecision.Start>()
            val refused =
                dispatch(nowMs, engines, groups) { start ->
                    starts += start
                    val engine = engines.single { it.id == start.instance }
                    engine.pendingPrefillTokens += engine.uncachedTokens(start.request.parts, true)
                    engine.read +=
                        start.request.parts
                            .first()
                            .id
                }
            return starts to refused
        }

        /** Starts the first request on the coast at its preferred instance, and returns that. */
        fun RequestQueue.startFirst(engines: List<TestEngine>): InstanceId {
            add(guide("coast"))
            return run(0, engines).first.single().instance
        }

        fun engines(count: Int) = (1..count).map { TestEngine("engine-$it") }

        test("a call goes to the same engine as the last one on its subject") {
            val all = engines(8)
            val queue = RequestQueue(narrow) { ENTRIES }
            val first = queue.startFirst(all)
            all.forEach { it.pendingPrefillTokens = 0 }
            queue.add(guide("coast"))
            queue
                .run(10, all)
                .first
                .single()
                .instance shouldBe first
        }

        test("an engine gets no second long prompt while it has one to read, and the call waits at the entry") {
            val all = engines(1)
            val queue = RequestQueue(narrow) { ENTRIES }
            queue.add(guide("coast"))
            queue.add(guide("stables"))
            queue.run(0, all).first.size shouldBe 1
            queue.size shouldBe 1
            all.single().pendingPrefillTokens = 0
            queue.run(300, all).first.size shouldBe 1
        }

        test("many entries together send an engine no more than few do") {
            fun startedBy(entries: Int): Int {
                val queue = RequestQueue(QueuePolicy(windowTokens = 200_000)) { entries }
                repeat(100) { queue.add(guide("coast")) }
                return queue.run(0, engines(1)).first.size * entries
            }
            listOf(1, 5, 40).forEach { startedBy(it) shouldBeInRange 30..60 }
        }

        test("a call does not leave its subject's engine for a short wait") {
            val all = engines(8)
            val queue = RequestQueue(narrow) { ENTRIES }
            val preferred = queue.startFirst(all)
            all.single { it.id == preferred }.pendingPrefillTokens = 9_000
            queue.add(guide("coast", arrivedMs = 0))
            queue.run(20, all).first.shouldBeEmpty()
        }

        test("a call leaves its subject's engine when reading the subject elsewhere is faster than waiting") {
            val all = engines(8)
            val queue = RequestQueue(narrow) { ENTRIES }
            val preferred = queue.startFirst(all)
            all.single { it.id == preferred }.pendingPrefillTokens = 60_000
            queue.add(guide("coast", arrivedMs = 0))
            val second =
                queue
                    .run(1_000, all)
                    .first
                    .single()
                    .instance
            second shouldNotBe preferred
        }

        test("a more urgent call starts before a larger one that came first, and is never refused before it") {
            val all = engines(1)
            val queue = RequestQueue(narrow) { ENTRIES }
            queue.add(guide("coast", arrivedMs = 0, priority = 2))
            queue.add(guide("stables", arrivedMs = 5, priority = 1))
            queue
                .run(10, all)
                .first
                .single()
                .request.priority shouldBe 1
        }

        test("what can still make its target goes before what cannot, within its priority") {
            val all = engines(1)
            val queue = RequestQueue(narrow) { ENTRIES }
            val late = guide("coast", arrivedMs = 0)
            val fresh = guide("stables", arrivedMs = 1_490)
            queue.add(late)
            queue.add(fresh)
            queue.run(TARGET_MS + 10, all).first.map { it.request.id } shouldContainExactly listOf(fresh.id)
        }

        test("a call that has waited too long is refused once, and one whose caller has left is not started") {
            val all = listOf(TestEngine("engine-1", pendingPrefillTokens = 50_000))
            val queue = RequestQueue(narrow) { ENTRIES }
            val old = guide("coast")
            val left = guide("coast")
            queue.add(old)
            queue.add(left)
            queue.remove(left.id)
            queue.run(2 * TARGET_MS - 1, all).second.shouldBeEmpty()
            queue.run(2 * TARGET_MS, all).second.map { it.request.id } shouldContainExactly listOf(old.id)
            queue.size shouldBe 0
        }

        test("an engine that is full of running calls takes no more") {
            val all = listOf(TestEngine("engine-1", load = 64.0))
            val queue = RequestQueue(narrow) { ENTRIES }
            queue.add(guide("coast"))
            queue.run(0, all).first.shouldBeEmpty()
        }

        test("a burst of guides on one subject is not read on every engine") {
            val all = engines(8)
            val queue = RequestQueue { ENTRIES }
            val used = HashSet<InstanceId>()
            for (nowMs in 0L..2_000L step 20) {
                if (nowMs % 100 == 0L) queue.add(guide("coast", arrivedMs = nowMs))
                queue.run(nowMs, all).first.forEach { used += it.instance }
                // Each instance reads 61 tokens in a millisecond.
                all.forEach { it.pendingPrefillTokens = maxOf(0, it.pendingPrefillTokens - 61 * 20) }
            }
            used.size shouldBe 1
        }

        test("short greetings and long guides wait for engines of their own") {
            val all = engines(8)
            val queue = RequestQueue { ENTRIES }
            repeat(100) { queue.add(guide("subject-$it", group = guides)) }
            val used = queue.run(0, all, groups = 2).first.mapTo(HashSet()) { it.instance }
            queue.add(guide("hello", priority = 0, group = greetings))
            val greeting =
                queue
                    .run(0, all, groups = 2)
                    .first
                    .single()
                    .instance
            used.size shouldBe 7
            (greeting in used) shouldBe false
        }

        test("a burst of greetings beyond what the reserved engine reads in time goes on to one further engine") {
            val all = engines(8)
            val queue = RequestQueue { ENTRIES }
            repeat(2) { queue.add(guide("hello", priority = 0, group = greetings)) }
            val reserved = rankedFirst(all)
            val starts = queue.run(0, all, groups = 2).first.map { it.instance }
            starts.first() shouldBe reserved
            starts.toSet().size shouldBe 2
            all.forEach { it.pendingPrefillTokens = 0 }
            queue.add(guide("hello", priority = 0, group = greetings))
            queue
                .run(10, all, groups = 2)
                .first
                .single()
                .instance shouldBe reserved
        }

        test("the engines are never avoided as a whole") {
            val all = engines(4).onEach { it.isEjected = true }
            val queue = RequestQueue { ENTRIES }
            queue.add(guide("coast"))
            queue.run(0, all).first.size shouldBe 1
        }
    })
