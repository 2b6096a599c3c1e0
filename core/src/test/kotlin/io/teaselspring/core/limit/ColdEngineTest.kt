/*
 * Guards against entries that together send a cold engine more than it takes, in any second: when all learn of it at
 * once, when some or all are cut off from the store, when it is new to them, and when it comes back under its row.
 */
package io.teaselspring.core.limit

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.teaselspring.core.routing.WarmUp
import kotlin.random.Random

private const val STEP_MS = 5L
private const val PER_SECOND = 9.1
private const val MOST_IN_A_SECOND = (1.5 * PER_SECOND + 5).toInt()
private val fleetSizes = listOf(5, 24, 100, 330)

/** Entries with more work than they may send, one engine, and one row of a store, in steps of [STEP_MS]. */
private class ColdFleet(
    val entries: Int,
    seed: Int,
    private val warmUpMs: Long = 3_000,
    private val hasDemand: (nowMs: Long) -> Boolean = { true },
    private val isCutOff: (entry: Int) -> Boolean = { false },
) {
    private class Call(
        val atMs: Long,
        val run: () -> Unit,
    )

    private val random = Random(seed)
    private val demand = List(entries) { ArrivalRate() }
    val limits =
        List(entries) {
            InstanceLimit(
                "entry-$it",
                demand[it],
                instances = { 31 },
                entries = { entries },
                Random(random.nextLong()),
                warmUp = { WarmUp(warmUpMs, PER_SECOND) },
            )
        }
    private var row: RateShares? = null
    private var version = 0L
    private var calls = ArrayList<Call>()
    private val arrivedMs = ArrayList<Long>()
    private val isListed = BooleanArray(entries)
    var nowMs = 0L
        private set

    /** What the engine does with a request that arrives from an entry; it tells the entry by [InstanceLimit.cold]. */
    var onArrival: (entry: Int) -> Unit = {}

    private fun later(
        maxMs: Long,
        run: () -> Unit,
    ) {
        calls += Call(nowMs + 1 + random.nextLong(maxMs), run)
    }

    /** The entry [entry] learns at the present moment, by [learn], that the engine exists or is cold. */
    fun learn(
        entry: Int,
        learn: ColdState.() -> Unit,
    ) {
        limits[entry].cold.learn()
        isListed[entry] = true
    }

    fun learnWithin(
        maxMs: Long,
        learn: ColdState.() -> Unit,
    ) = limits.indices.forEach { entry -> later(maxMs) { learn(entry, learn) } }

    fun allLearn(learn: ColdState.() -> Unit) = limits.indices.forEach { learn(it, learn) }

    private fun claim(
        entry: Int,
        limit: InstanceLimit,
    ) {
        limit.claimStarted()
        if (isCutOff(entry)) return later(CALL_TIMEOUT_MS) { limit.claimFailed(ClaimFailure.UNAVAILABLE, nowMs) }
        later(STORE_MS) {
            val readVersion = version
            limit.claim(row, nowMs, nowMs)?.let { claim ->
                val sentMs = nowMs
                later(STORE_MS) {
                    val isApplied = readVersion == version
                    if (isApplied) {
                        row = claim.row
                        version += 1
                    }
                    later(STORE_MS) {
                        if (isApplied) {
                            limit.claimSucceeded(claim, sentMs, nowMs)
                        } else {
                            limit.claimFailed(ClaimFailure.CONFLICT, nowMs)
                        }
                    }
                }
            }
        }
    }

    fun run(untilMs: Long) {
        while (nowMs < untilMs) {
            nowMs += STEP_MS
            val (due, waiting) = calls.partition { it.atMs <= nowMs }
            calls = ArrayList(waiting)
            due.forEach { it.run() }
            limits.indices.forEach { if (isListed[it]) serve(it, limits[it]) }
        }
    }

    private fun serve(
        entry: Int,
        limit: InstanceLimit,
    ) {
        val hasRequest = hasDemand(nowMs)
        if (hasRequest) demand[entry].record(nowMs)
        if (limit.isClaimDue(nowMs)) claim(entry, limit)
        if (!hasRequest || !limit.hasPermit(nowMs)) return
        limit.requestStarted(nowMs)
        // Some connections open late.
        later(if (random.nextInt(10) == 0) CONNECT_TIMEOUT_MS else LINK_MS) {
            arrivedMs += nowMs
            onArrival(entry)
        }
    }

    fun arrivedBetween(
        fromMs: Long,
        toMs: Long,
    ): Int = arrivedMs.count { it in fromMs until toMs }

    /** The most requests that reached the engine in any second that lies between [fromMs] and [toMs]. */
    fun mostInASecond(
        fromMs: Long,
        toMs: Long,
    ): Int {
        val times = arrivedMs.filter { it in fromMs until toMs }
        var first = 0
        return times.indices.maxOfOrNull { last ->
            while (times[first] <= times[last] - MS_PER_S) first += 1
            last - first + 1
        } ?: 0
    }

    private companion object {
        const val MS_PER_S = 1_000L
        const val STORE_MS = 20L
        const val LINK_MS = 5L
        const val CONNECT_TIMEOUT_MS = 400L
        const val CALL_TIMEOUT_MS = 700L
    }
}

private fun forEachFleet(test: (entries: Int, seed: Int) -> Unit) =
    fleetSizes.forEach { entries ->
        repeat(5) { seed -> withClue("$entries entries, seed $seed") { test(entries, seed) } }
    }

class ColdEngineTest :
    FunSpec({
        test("entries that all learn of a cold engine at the same moment keep its limit in every second, and use it") {
            forEachFleet { entries, seed ->
                val fleet = ColdFleet(entries, seed)
                fleet.allLearn { recordStated(leftMs = 3_000, nowMs = 0) }
                fleet.run(3_000)
                fleet.mostInASecond(0, 3_000) shouldBeLessThanOrEqual MOST_IN_A_SECOND
                fleet.arrivedBetween(1_000, 3_000) shouldBeGreaterThan (PER_SECOND * 2 / 2).toInt()
            }
        }

        test("a limit that lasts over renewed and expired shares is kept, also with a third of the entries cut off") {
            forEachFleet { entries, seed ->
                val fleet = ColdFleet(entries, seed, isCutOff = { it % 3 == 0 })
                fleet.allLearn { recordStated(leftMs = 50_000, nowMs = 0) }
                fleet.run(50_000)
                fleet.mostInASecond(0, 50_000) shouldBeLessThanOrEqual MOST_IN_A_SECOND
                fleet.arrivedBetween(10_000, 50_000) shouldBeGreaterThan (PER_SECOND * 40 / 2).toInt()
            }
        }

        test("entries that are idle together and then send what they have saved keep the limit in every second") {
            forEachFleet { entries, seed ->
                val fleet = ColdFleet(entries, seed, hasDemand = { it % 2_000 >= 1_000 })
                fleet.allLearn { recordStated(leftMs = 20_000, nowMs = 0) }
                fleet.run(20_000)
                fleet.mostInASecond(0, 20_000) shouldBeLessThanOrEqual MOST_IN_A_SECOND
            }
        }

        test("entries without the store keep the limit together and still try the engine") {
            forEachFleet { entries, seed ->
                val fleet = ColdFleet(entries, seed, isCutOff = { true })
                fleet.allLearn { recordStated(leftMs = 100_000, nowMs = 0) }
                fleet.run(100_000)
                fleet.mostInASecond(0, 100_000) shouldBeLessThanOrEqual MOST_IN_A_SECOND
                fleet.arrivedBetween(0, 100_000) shouldBeGreaterThan 0
            }
        }

        test("an engine that appears without a statement counts as cold at each entry from when that learns of it") {
            forEachFleet { entries, seed ->
                val fleet = ColdFleet(entries, seed)
                fleet.learnWithin(1_400) { recordAppeared(fleet.nowMs, ageMs = null) }
                fleet.run(3_000)
                fleet.mostInASecond(0, 3_000) shouldBeLessThanOrEqual MOST_IN_A_SECOND
                fleet.arrivedBetween(0, 3_000) shouldBeGreaterThan 0
            }
        }

        test("shares of a higher limit that the engine stated before it became cold are not used on") {
            forEachFleet { entries, seed ->
                // The holders have saved a request each when the engine becomes cold.
                val fleet = ColdFleet(entries, seed, hasDemand = { it !in 8_000..9_000 })
                fleet.limits.forEach { it.recordResponse(listOf("50"), 0, 0) }
                fleet.allLearn { recordStated(leftMs = 0, nowMs = 0) }
                fleet.run(9_000)
                fleet.arrivedBetween(6_000, 7_000) shouldBeGreaterThan MOST_IN_A_SECOND
                fleet.allLearn { recordStated(leftMs = 3_000, nowMs = 9_000) }
                fleet.run(12_000)
                fleet.mostInASecond(9_000, 12_000) shouldBeLessThanOrEqual MOST_IN_A_SECOND
            }
        }

        test("an engine that refused connections and comes back under the same row is cold until it has had time") {
            listOf(false, true).forEach { isStoreAway ->
                forEachFleet { entries, seed ->
                    val fleet = ColdFleet(entries, seed, isCutOff = { isStoreAway })
                    val isBack = { fleet.nowMs >= 30_000 }
                    fleet.onArrival = { entry ->
                        val now = fleet.nowMs
                        fleet.learn(entry) { if (isBack()) recordResponse(now - 1, now) else recordRefused(now) }
                    }
                    fleet.allLearn { recordRefused(0) }
                    fleet.run(33_000)
                    fleet.mostInASecond(30_000, 33_000) shouldBeLessThanOrEqual MOST_IN_A_SECOND
                    if (!isStoreAway) fleet.arrivedBetween(30_000, 33_000) shouldBeGreaterThan 0
                }
            }
        }

        test("a statement ends the doubt about an engine, unless it was asked for before") {
            val warmUp = WarmUp(3_000, PER_SECOND)
            val state = ColdState()
            state.leftMs(0, warmUp) shouldBe 0
            state.recordAppeared(nowMs = 1_000, ageMs = 500)
            state.leftMs(1_000, warmUp) shouldBe 2_500
            state.leftMs(1_000, warmUp = null) shouldBe 0
            state.recordStated(leftMs = 0, nowMs = 1_100)
            state.leftMs(1_100, warmUp) shouldBe 0
            state.recordRefused(nowMs = 2_000)
            state.recordStated(leftMs = 0, nowMs = 2_100, askedMs = 1_900)
            state.recordResponse(sentAtMs = 1_900, nowMs = 2_100)
            state.leftMs(60_000, warmUp) shouldBe 3_000
            state.recordResponse(sentAtMs = 60_000, nowMs = 60_010)
            state.leftMs(62_010, warmUp) shouldBe 1_000
            state.recordStated(leftMs = 700, nowMs = 62_010)
            state.leftMs(62_510, warmUp) shouldBe 200
        }

        test("a warm engine has no limit once its warm-up is over") {
            val fleet = ColdFleet(entries = 2, seed = 1)
            fleet.allLearn { recordStated(leftMs = 3_000, nowMs = 0) }
            fleet.run(2_900)
            fleet.limits.forEach { it.perSecond shouldBe PER_SECOND }
            fleet.run(3_010)
            fleet.limits.forEach { it.hasPermit(fleet.nowMs) shouldBe true }
            fleet.limits.forEach { it.perSecond shouldBe null }
        }
    })
