package io.teaselspring.core.lease

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.teaselspring.core.Incarnation
import io.teaselspring.core.freshness.StoreClock
import io.teaselspring.core.freshness.StoreGeneration
import kotlin.random.Random

/** A process in simulated time; its clocks run at [rate] times the true speed, and it may be paused. */
private class Candidate(
    val name: String,
    val rate: Double,
    val offsetMs: Long,
) {
    var serial = 0
    val generation = StoreGeneration()
    val lease = Lease(Incarnation(name), LeaseTimes(), { generation.current }) { "$name-${++serial}" }
    var pausedUntilMs = 0L
    var wallStepMs = 0L

    /** A message takes up to 1.5 s each way here, which the durations of the lease allow for. */
    val storeClock = StoreClock(maxRoundTripMs = 1_500)
    private var suspendedMs = 0L

    /** With [stopsClock] the monotonic clock stops during the pause, as when the whole machine is suspended. */
    fun pause(
        trueMs: Long,
        untilMs: Long,
        stopsClock: Boolean,
    ) {
        pausedUntilMs = untilMs
        if (stopsClock) suspendedMs += ((untilMs - trueMs) * rate).toLong()
    }

    fun reading(trueMs: Long): ClockReading {
        val wallMs = offsetMs + (trueMs * rate).toLong()
        val reading = ClockReading(wallMs - suspendedMs, wallMs + wallStepMs)
        return reading.copy(storeMs = storeClock.certainNowMs(reading))
    }
}

private const val MAX_COPY_AGE_MS = 10_000L

private class Delivery(
    val atMs: Long,
    val run: (Long) -> Unit,
)

/** The row of the lease at [atMs], as a copy of the store holds it. */
private class RowCopy(
    val atMs: Long,
    val row: LeaseRow?,
    val rowVersion: Long,
)

/**
 * Several candidates for one row, with delays, lost messages, pauses and outages drawn from [random]. With [storeTime]
 * the store's responses carry its time; with [restores] it comes back now and then from a copy that is up to
 * [MAX_COPY_AGE_MS] old.
 */
private class LeaseRun(
    private val random: Random,
    private val storeTime: Boolean,
    private val restores: Boolean = false,
) {
    val candidates = List(3) { Candidate("p$it", 0.98 + 0.02 * it, random.nextLong(1_000_000)) }
    private var row: LeaseRow? = null
    private var rowVersion = 0L
    private val deliveries = mutableListOf<Delivery>()
    private var outageUntilMs = 0L
    private val copies = ArrayDeque<RowCopy>()
    private var generation = 1L
    private var nowMs = 0L

    init {
        candidates.forEach { it.generation.onRestored { it.lease.step(LeaseEvent.StoreRestored, it.reading(nowMs)) } }
    }

    /** Number of restores. */
    val restored: Long get() = generation - 1

    /** (time, epoch, name) of each moment at which a process was allowed to send. */
    val sends = mutableListOf<Triple<Long, Long, String>>()

    fun run(untilMs: Long) {
        for (stepMs in 0..untilMs step 50) {
            nowMs = stepMs
            if (restores) copyAndRestore()
            if (random.nextInt(4000) == 0) outageUntilMs = nowMs + random.nextLong(20_000)
            deliveries.filter { it.atMs <= nowMs }.also { deliveries.removeAll(it) }.forEach { it.run(nowMs) }
            candidates.filter { it.pausedUntilMs <= nowMs }.forEach { act(it, nowMs) }
        }
    }

    private fun copyAndRestore() {
        copies += RowCopy(nowMs, row, rowVersion)
        while (copies.first().atMs < nowMs - MAX_COPY_AGE_MS) copies.removeFirst()
        if (random.nextInt(600) != 0) return
        val copy = copies.random(random)
        row = copy.row
        rowVersion = copy.rowVersion
        generation += 1
        copies.clear()
    }

    private fun act(
        candidate: Candidate,
        nowMs: Long,
    ) {
        if (random.nextInt(3000) == 0) candidate.wallStepMs += random.nextLong(-5_000, 5_000)
        candidate.lease.epochToSend(candidate.reading(nowMs))?.let { sends += Triple(nowMs, it, candidate.name) }
        step(candidate, LeaseEvent.Tick, nowMs)
        if (random.nextInt(600) == 0) candidate.pause(nowMs, nowMs + random.nextLong(25_000), random.nextBoolean())
    }

    private fun step(
        candidate: Candidate,
        event: LeaseEvent,
        nowMs: Long,
    ) {
        candidate.lease.step(event, candidate.reading(nowMs)).forEach { action ->
            when (action) {
                LeaseAction.Read -> exchange(candidate, nowMs) { LeaseEvent.Read(row, rowVersion) }
                is LeaseAction.Write -> exchange(candidate, nowMs) { write(action) }
                else -> Unit
            }
        }
    }

    private fun write(action: LeaseAction.Write): LeaseEvent {
        if (action.ifVersion != rowVersion) return LeaseEvent.WriteUnclear
        row = action.row
        rowVersion += 1
        return LeaseEvent.Written(rowVersion)
    }

    /** Simulates a call to the store; a process that is paused gets the response when it resumes. */
    private fun exchange(
        candidate: Candidate,
        nowMs: Long,
        call: () -> LeaseEvent,
    ) {
        val sentAt = candidate.reading(nowMs)
        val isLostBefore = random.nextInt(12) == 0
        val isLostAfter = random.nextInt(12) == 0
        deliveries +=
            Delivery(nowMs + random.nextLong(1, 1500)) { atMs ->
                val result = if (isLostBefore || atMs < outageUntilMs) null else call()
                val response = if (result == null || isLostAfter) LeaseEvent.WriteUnclear else result
                val sentIn = generation
                val observeTime = { arrivedAt: ClockReading ->
                    if (storeTime &&
                        response != LeaseEvent.WriteUnclear
                    ) {
                        candidate.storeClock.observe(atMs, sentAt, arrivedAt)
                    }
                }
                val isArriving = result != null && !isLostAfter
                val receive = { if (isArriving && !candidate.generation.observe(sentIn)) null else response }
                deliverResponse(candidate, receive, observeTime, atMs + random.nextLong(1, 1500))
            }
    }

    private fun deliverResponse(
        candidate: Candidate,
        receive: () -> LeaseEvent?,
        observeTime: (ClockReading) -> Unit,
        atMs: Long,
    ) {
        deliveries +=
            Delivery(atMs) { nowMs ->
                if (candidate.pausedUntilMs > nowMs) {
                    deliverResponse(candidate, receive, observeTime, candidate.pausedUntilMs)
                } else {
                    observeTime(candidate.reading(nowMs))
                    // A response of an earlier generation counts for nothing.
                    step(candidate, receive() ?: LeaseEvent.WriteUnclear, nowMs)
                }
            }
    }
}

// Guards against two processes that act under one lease at the same time.
class LeaseTest :
    FunSpec({
        listOf(false, true).forEach { storeTime ->
            test("over 300 seeds no two processes send within an order's deadline, with the store's time: $storeTime") {
                var takeovers = 0
                repeat(300) { seed ->
                    val run = LeaseRun(Random(seed), storeTime).apply { run(180_000) }
                    run.sends.zipWithNext().forEach { (before, after) ->
                        (after.second >= before.second) shouldBe true
                        if (after.third != before.third) {
                            takeovers += 1
                            (after.second > before.second) shouldBe true
                            after.first - before.first shouldBeGreaterThan LeaseTimes().orderDeadlineMs
                        }
                    }
                }
                takeovers shouldBeGreaterThan 300
            }
        }

        test("over 300 seeds no two processes send within an order's deadline over restores") {
            var takeovers = 0
            var restored = 0L
            repeat(300) { seed ->
                val run = LeaseRun(Random(seed), storeTime = true, restores = true).apply { run(180_000) }
                restored += run.restored
                run.sends.zipWithNext().forEach { (before, after) ->
                    withClue("seed $seed, $before and $after") {
                        (after.second >= before.second) shouldBe true
                        if (after.third != before.third) {
                            takeovers += 1
                            (after.second > before.second) shouldBe true
                            after.first - before.first shouldBeGreaterThan LeaseTimes().orderDeadlineMs
                        }
                    }
                }
            }
            takeovers shouldBeGreaterThan 300
            restored shouldBeGreaterThan 300
        }

        test("a row that has expired by the store's clock is replaced when it is first read") {
            val times = LeaseTimes()
            val row = LeaseRow(Incarnation("b"), 4, "w0", storeMs = 50_000)

            fun firstRead(storeMs: Long): List<LeaseAction> {
                val lease = Lease(Incarnation("a"), times) { "w" }

                fun at(ms: Long) = ClockReading(ms, ms, storeMs + ms)
                lease.step(LeaseEvent.Tick, at(0))
                return lease.step(LeaseEvent.Read(row, 7), at(0))
            }
            firstRead(50_000 + times.takeoverMs - 1) shouldBe emptyList()
            val acquired = LeaseRow(Incarnation("a"), 5, "w", 50_000 + times.takeoverMs)
            firstRead(50_000 + times.takeoverMs) shouldBe listOf(LeaseAction.Write(acquired, 7))
        }

        test("the holder counts from before it sent the write and stops 2 s before the lease ends") {
            val lease = Lease(Incarnation("a"), LeaseTimes()) { "w" }

            fun at(ms: Long) = ClockReading(ms, ms)
            lease.step(LeaseEvent.Tick, at(0)) shouldBe listOf(LeaseAction.Read)
            val write = lease.step(LeaseEvent.Read(null, 0), at(100)).single() as LeaseAction.Write
            write.ifVersion shouldBe 0
            lease.step(LeaseEvent.Written(1), at(2_000)) shouldBe listOf(LeaseAction.Acquired(1))
            lease.epochToSend(at(8_099)) shouldBe 1
            lease.epochToSend(at(8_100)).shouldBeNull()
        }

        test("a clock that jumps ends the lease until it is acquired again under a higher epoch") {
            val lease = Lease(Incarnation("a"), LeaseTimes()) { "w" }
            lease.step(LeaseEvent.Tick, ClockReading(0, 0))
            lease.step(LeaseEvent.Read(null, 0), ClockReading(0, 0))
            lease.step(LeaseEvent.Written(1), ClockReading(10, 10))
            lease.epochToSend(ClockReading(1_000, 9_000)).shouldBeNull()
            val actions = lease.step(LeaseEvent.Tick, ClockReading(1_000, 9_000))
            actions.first() shouldBe LeaseAction.Ended(1, "clock jump")
            (actions.last() as LeaseAction.Write).row.epoch shouldBe 2
        }

        test("a released lease is free after the deadline of the last order") {
            val lease = Lease(Incarnation("a"), LeaseTimes()) { "w" }

            fun at(ms: Long) = ClockReading(ms, ms)
            lease.step(LeaseEvent.Tick, at(0))
            lease.step(LeaseEvent.Read(null, 0), at(0))
            lease.step(LeaseEvent.Written(1), at(10))
            lease.step(LeaseEvent.Resign, at(20)) shouldBe listOf(LeaseAction.Ended(1, "resigned"))
            lease.epochToSend(at(20)).shouldBeNull()
            lease.step(LeaseEvent.Tick, at(1_019)) shouldBe emptyList()
            lease.step(LeaseEvent.Tick, at(1_020)) shouldBe listOf(LeaseAction.Write(LeaseRow(null, 1, "w"), 1))
        }

        test("a free lease that cannot be written is tried again only after the retry interval") {
            val times = LeaseTimes()
            val lease = Lease(Incarnation("p"), times) { "w" }
            var nowMs = 0L
            var writes = 0

            fun step(event: LeaseEvent) {
                var actions = lease.step(event, ClockReading(nowMs, nowMs))
                // The caller of the state machine carries an action out and passes its result back at once.
                repeat(100) {
                    val result =
                        when (actions.lastOrNull { it is LeaseAction.Read || it is LeaseAction.Write }) {
                            is LeaseAction.Read -> LeaseEvent.Read(null, 0)
                            is LeaseAction.Write -> LeaseEvent.WriteFailed.also { writes += 1 }
                            else -> return
                        }
                    actions = lease.step(result, ClockReading(nowMs, nowMs))
                }
            }
            while (nowMs < 10_000) {
                step(LeaseEvent.Tick)
                nowMs += 250
            }
            writes shouldBeInRange 1..(10_000 / times.retryMs).toInt()
        }
    })
