/*
 * Tests the queue under bursts of long prompts. Guards against shared parts that are prefilled repeatedly, instances
 * that are sent more than they can prefill in time, and urgent requests that wait behind large ones.
 */
package io.teaselspring.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.teaselspring.core.InstanceId

/** An engine whose prefix cache holds the parts in [cachedParts]. */
private class TestEngine(
    name: String,
    override var pendingPrefillTokens: Long = 0,
    override var isEjected: Boolean = false,
    override val memoryTokens: Long? = null,
    override val slots: Int? = null,
) : InstanceView {
    override val id = InstanceId(name)
    override val load = KnownLoad()
    val cachedParts = HashSet<String>()

    override fun uncachedTokens(
        parts: List<PromptPart>,
        isPreferred: Boolean,
    ) = parts.filter { it.id !in cachedParts }.sumOf { it.tokens }
}

private val shortPrompts = LatencyGroup(0, 2)
private val longPrompts = LatencyGroup(1, 2)

private fun highestInPartition(engines: List<TestEngine>) = engines.maxBy { partitionWeight(it.id) }.id

private const val FIRST_TOKEN_TARGET_MS = 1_500L

private const val ENTRIES = 5

/** Small windows, which one or two requests fill. */
private val smallWindows = QueuePolicy(windowTokens = 40_000, interactiveWindowTokens = 20_000, spillAfterMs = 100)

class RequestQueueTest :
    FunSpec({
        var lastId = 0L

        fun queuedRequest(
            sharedPart: String,
            arrivedMs: Long = 0,
            priority: Int = 2,
            group: LatencyGroup = LatencyGroup.ONLY,
            ownTokens: Long = 3_700,
        ): QueuedRequest {
            val id = ++lastId
            return QueuedRequest(
                id,
                listOf(PromptPart(sharedPart, 13_300), PromptPart("own-$id", ownTokens)),
                group,
                priority,
                arrivedMs,
                lateAfterMs = arrivedMs + FIRST_TOKEN_TARGET_MS,
                refuseAfterMs = arrivedMs + 2 * FIRST_TOKEN_TARGET_MS,
            )
        }

        /** Dispatches, and adds each started request to its engine's pending tokens and prefix cache. */
        fun RequestQueue.dispatchAll(
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
                    engine.cachedParts +=
                        start.request.parts
                            .first()
                            .id
                }
            return starts to refused
        }

        /** Starts a request with the shared part "coast" and returns its preferred instance. */
        fun RequestQueue.startFirst(engines: List<TestEngine>): InstanceId {
            add(queuedRequest("coast"))
            return dispatchAll(0, engines).first.single().instance
        }

        fun engines(count: Int) = (1..count).map { TestEngine("engine-$it") }

        test("a request goes to the same engine as the last one with its shared part") {
            val all = engines(8)
            val queue = RequestQueue(smallWindows) { ENTRIES }
            val first = queue.startFirst(all)
            all.forEach { it.pendingPrefillTokens = 0 }
            queue.add(queuedRequest("coast"))
            queue
                .dispatchAll(10, all)
                .first
                .single()
                .instance shouldBe first
        }

        test("an engine is sent no second long prompt while one is pending, and the request waits at the entry") {
            val all = engines(1)
            val queue = RequestQueue(smallWindows) { ENTRIES }
            queue.add(queuedRequest("coast"))
            queue.add(queuedRequest("stables"))
            queue.dispatchAll(0, all).first.size shouldBe 1
            queue.size shouldBe 1
            all.single().pendingPrefillTokens = 0
            queue.dispatchAll(300, all).first.size shouldBe 1
        }

        test("the load that all entries send to an engine does not grow with their number") {
            fun startedBy(entries: Int): Int {
                val queue = RequestQueue(QueuePolicy(windowTokens = 200_000)) { entries }
                repeat(100) { queue.add(queuedRequest("coast")) }
                return queue.dispatchAll(0, engines(1)).first.size * entries
            }
            listOf(1, 5, 40).forEach { startedBy(it) shouldBeInRange 30..60 }
        }

        test("a request does not spill over for a short wait") {
            val all = engines(8)
            val queue = RequestQueue(smallWindows) { ENTRIES }
            val preferred = queue.startFirst(all)
            all.single { it.id == preferred }.pendingPrefillTokens = 9_000
            queue.add(queuedRequest("coast", arrivedMs = 0))
            queue.dispatchAll(20, all).first.shouldBeEmpty()
        }

        test("a request spills over when another engine can prefill its prompt faster") {
            val all = engines(8)
            val queue = RequestQueue(smallWindows) { ENTRIES }
            val preferred = queue.startFirst(all)
            all.single { it.id == preferred }.pendingPrefillTokens = 60_000
            queue.add(queuedRequest("coast", arrivedMs = 0))
            val second =
                queue
                    .dispatchAll(1_000, all)
                    .first
                    .single()
                    .instance
            second shouldNotBe preferred
        }

        test("a request of higher priority starts before one that arrived earlier") {
            val all = engines(1)
            val queue = RequestQueue(smallWindows) { ENTRIES }
            queue.add(queuedRequest("coast", arrivedMs = 0, priority = 2))
            queue.add(queuedRequest("stables", arrivedMs = 5, priority = 1))
            queue
                .dispatchAll(10, all)
                .first
                .single()
                .request.priority shouldBe 1
        }

        test("within a priority, a request that can still meet its target precedes one that cannot") {
            val all = engines(1)
            val queue = RequestQueue(smallWindows) { ENTRIES }
            val late = queuedRequest("coast", arrivedMs = 0)
            val fresh = queuedRequest("stables", arrivedMs = 1_490)
            queue.add(late)
            queue.add(fresh)
            queue.dispatchAll(FIRST_TOKEN_TARGET_MS + 10, all).first.map { it.request.id } shouldContainExactly
                listOf(fresh.id)
        }

        test("a request that has waited too long is refused once, and one whose caller disconnected is removed") {
            val all = listOf(TestEngine("engine-1", pendingPrefillTokens = 50_000))
            val queue = RequestQueue(smallWindows) { ENTRIES }
            val expired = queuedRequest("coast")
            val disconnected = queuedRequest("coast")
            queue.add(expired)
            queue.add(disconnected)
            queue.remove(disconnected.id)
            queue.dispatchAll(2 * FIRST_TOKEN_TARGET_MS - 1, all).second.shouldBeEmpty()
            queue.dispatchAll(2 * FIRST_TOKEN_TARGET_MS, all).second.map { it.request.id } shouldContainExactly
                listOf(expired.id)
            queue.size shouldBe 0
        }

        // An engine whose slots are taken preempts running requests for more urgent ones.
        listOf(64, 48, 32, 6).forEach { slots ->
            test("an engine whose $slots slots are nearly taken is sent no more requests, and one with room is") {
                fun startedBeside(running: Int): Int {
                    val engine = TestEngine("engine-1", slots = slots)
                    engine.load.record(ReportedLoad(running, waiting = 0, slots), nowMs = 0)
                    val queue = RequestQueue(smallWindows) { ENTRIES }
                    queue.add(queuedRequest("coast"))
                    return queue.dispatchAll(0, listOf(engine)).first.size
                }
                startedBeside(slots - 2) shouldBe 0
                startedBeside(slots / 2) shouldBe 1
            }
        }

        test("an engine that tells no usable number of slots is bounded by its prefill alone") {
            listOf(null, 0, -3).forEach { slots ->
                val engine = TestEngine("engine-1", slots = slots)
                engine.load.record(ReportedLoad(running = 70, waiting = 0, slots = 64), nowMs = 0)
                val queue = RequestQueue(smallWindows) { ENTRIES }
                queue.add(queuedRequest("coast"))
                queue.dispatchAll(0, listOf(engine)).first.size shouldBe 1
            }
        }

        test("an engine is sent no request that would take memory from its prefix cache, unless it is idle") {
            val all = listOf(TestEngine("engine-1", memoryTokens = 20_000))
            val queue = RequestQueue(QueuePolicy(runningMemoryFraction = 0.25)) { ENTRIES }

            fun startOne() = queue.dispatchAll(0, all).first.size
            repeat(2) { queue.add(queuedRequest("coast")) }
            startOne() shouldBe 1
            all.single().load.requestStarted(unsharedTokens = 3_700)
            all.single().pendingPrefillTokens = 0
            startOne() shouldBe 0
            all.single().load.requestEnded(unsharedTokens = 3_700)
            startOne() shouldBe 1
        }

        test("the requests of other entries count as memory in use") {
            val all = listOf(TestEngine("engine-1", memoryTokens = 40_000))
            val queue = RequestQueue(QueuePolicy(runningMemoryFraction = 0.25)) { ENTRIES }
            queue.add(queuedRequest("coast"))
            all.single().load.record(ReportedLoad(running = 2, waiting = 0, slots = 64), nowMs = 0)
            queue.dispatchAll(0, all).first.shouldBeEmpty()
        }

        test("running requests leave the memory that the shared parts in use need") {
            fun startedBeside(subjects: Int): Int {
                val engine = TestEngine("engine-1", memoryTokens = 1_000_000)
                val queue = RequestQueue { 1 }
                // Each subject comes twice, so all of them are known.
                repeat(2 * subjects) { queue.add(queuedRequest("subject-${it % subjects}")) }
                repeat(2 * subjects) { queue.remove(lastId - it) }
                repeat(200) { queue.add(queuedRequest("subject-0")) }
                var started = 0
                queue.dispatch(0, listOf(engine), 1) {
                    started += 1
                    engine.load.requestStarted(
                        it.request.parts
                            .last()
                            .tokens,
                    )
                }
                return started
            }
            startedBeside(subjects = 15) shouldBeInRange 110..140
            startedBeside(subjects = 60) shouldBeInRange 25..40
        }

        // Guards against a caller whose wrong size holds back the requests of all others of the latency group.
        test("one request of an absurd size does not take the room of those that follow") {
            val engine = TestEngine("engine-1", memoryTokens = 100_000)
            val queue = RequestQueue { ENTRIES }
            repeat(20) { queue.add(queuedRequest("coast")) }
            queue.add(queuedRequest("coast", ownTokens = 10_000_000))
            repeat(21) { queue.remove(lastId - it) }
            engine.load.record(ReportedLoad(running = 2, waiting = 0, slots = 64), nowMs = 0)
            engine.load.requestStarted(unsharedTokens = 100)
            queue.add(queuedRequest("coast"))
            queue.dispatchAll(0, listOf(engine)).first.size shouldBe 1
        }

        // Guards against bursts in which short prompts take all room of full engines.
        test("a long prompt has room where one of mean size has room") {
            val engine = TestEngine("engine-1", pendingPrefillTokens = 0)
            val queue = RequestQueue(smallWindows) { 1 }
            repeat(100) { queue.add(queuedRequest("coast")) }
            repeat(100) { queue.remove(lastId - it) }
            engine.cachedParts += "coast"
            engine.pendingPrefillTokens = 20_000
            val long = queuedRequest("coast", ownTokens = 50_000)
            queue.add(long)
            queue.dispatchAll(0, listOf(engine)).first.map { it.request.id } shouldContainExactly listOf(long.id)
        }

        test(
            "a request without room in its group goes to a group with longer event gaps, not to one with shorter ones",
        ) {
            val all = engines(8)
            val groups = partitionInstances(all.map { it.id }, groups = 3)
            val queue = RequestQueue { ENTRIES }
            val middle = LatencyGroup(1, 3)
            all.filter { groups[it.id] != 2 }.forEach { it.pendingPrefillTokens = 60_000 }
            queue.add(queuedRequest("coast", priority = 1, group = middle))
            val instance =
                queue
                    .dispatchAll(0, all, groups = 3)
                    .first
                    .single()
                    .instance
            groups[instance] shouldBe 2
            all.forEach { it.pendingPrefillTokens = if (groups[it.id] == 2) 60_000 else 0 }
            queue.add(queuedRequest("coast", group = LatencyGroup(2, 3)))
            queue.dispatchAll(0, all, groups = 3).first.shouldBeEmpty()
        }

        test("a burst of requests with one shared part stays on one engine") {
            val all = engines(8)
            val queue = RequestQueue { ENTRIES }
            val used = HashSet<InstanceId>()
            for (nowMs in 0L..2_000L step 20) {
                if (nowMs % 100 == 0L) queue.add(queuedRequest("coast", arrivedMs = nowMs))
                queue.dispatchAll(nowMs, all).first.forEach { used += it.instance }
                // Each engine prefills 61 tokens per millisecond.
                all.forEach { it.pendingPrefillTokens = maxOf(0, it.pendingPrefillTokens - 61 * 20) }
            }
            used.size shouldBe 1
        }

        test("short and long prompts are sent to separate engines") {
            val all = engines(8)
            val queue = RequestQueue { ENTRIES }
            repeat(100) { queue.add(queuedRequest("subject-$it", group = longPrompts)) }
            val used = queue.dispatchAll(0, all, groups = 2).first.mapTo(HashSet()) { it.instance }
            queue.add(queuedRequest("hello", priority = 0, group = shortPrompts))
            val shortPromptEngine =
                queue
                    .dispatchAll(0, all, groups = 2)
                    .first
                    .single()
                    .instance
            used.size shouldBe 7
            (shortPromptEngine in used) shouldBe false
        }

        test("a burst of short prompts beyond the window of their engine overflows to one other engine") {
            val all = engines(8)
            val queue = RequestQueue { ENTRIES }
            repeat(2) { queue.add(queuedRequest("hello", priority = 0, group = shortPrompts)) }
            val interactive = highestInPartition(all)
            val starts = queue.dispatchAll(0, all, groups = 2).first.map { it.instance }
            starts.first() shouldBe interactive
            starts.toSet().size shouldBe 2
            all.forEach { it.pendingPrefillTokens = 0 }
            queue.add(queuedRequest("hello", priority = 0, group = shortPrompts))
            queue
                .dispatchAll(10, all, groups = 2)
                .first
                .single()
                .instance shouldBe interactive
        }

        test("a request starts although all engines are ejected") {
            val all = engines(4).onEach { it.isEjected = true }
            val queue = RequestQueue { ENTRIES }
            queue.add(queuedRequest("coast"))
            queue.dispatchAll(0, all).first.size shouldBe 1
        }
    })
