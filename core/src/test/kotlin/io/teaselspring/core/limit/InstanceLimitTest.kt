/*
 * Guards against entries that together send an instance more than its limit: because the store loses responses or
 * applies writes late, because it is away, or because the limit falls.
 */
package io.teaselspring.core.limit

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val STEP_MS = 10L
private const val ROUNDING = 1e-9

/** What the store does with a write: applies it, loses the response, applies it late, or refuses it. */
private enum class WriteFate { APPLIED, RESPONSE_LOST, LATE, REFUSED }

/** Entries, each with a limiter, before one row of a store, in steps of [STEP_MS]. */
private class Fleet(
    entries: Int,
    private val random: Random,
    private val perSecond: Double,
    private val fate: (nowMs: Long) -> WriteFate = { WriteFate.APPLIED },
) {
    private class Late(
        val atMs: Long,
        val row: RateShares,
        val ifVersion: Long,
    )

    private val demand = List(entries) { ArrivalRate() }
    val limits =
        List(entries) { InstanceLimit("entry-$it", demand[it], { 1 }, { entries }, Random(random.nextLong())) }
    private var row: RateShares? = null
    private var version = 0L
    private var late = emptyList<Late>()
    private val sentMs = ArrayList<Long>()
    private var generation = 0
    private val seenGenerations = IntArray(entries)
    var nowMs = 0L
        private set

    init {
        limits.forEach { it.recordResponse(listOf("$perSecond"), 0, 0) }
    }

    /** Rate of all valid shares, as their holders use them. */
    val totalRate: Double get() = limits.sumOf { it.sharePerSecond(nowMs) ?: 0.0 }

    private fun apply(
        next: RateShares,
        ifVersion: Long,
    ): Boolean {
        if (ifVersion != version) return false
        row = next
        version += 1
        return true
    }

    /** The row and its version as they are now, for [restore]. */
    fun copy(): Pair<RateShares?, Long> = row to version

    /** Brings back [copy]. Each entry notices with its next call, whose result it drops. */
    fun restore(copy: Pair<RateShares?, Long>) {
        row = copy.first
        version = copy.second
        generation += 1
    }

    private fun claim(
        entry: Int,
        limit: InstanceLimit,
    ) {
        val fate = fate(nowMs)
        limit.claimStarted()
        if (fate != WriteFate.REFUSED && seenGenerations[entry] != generation) {
            seenGenerations[entry] = generation
            limit.claimFailed(ClaimFailure.UNAVAILABLE, nowMs)
            limit.storeRestored(nowMs)
            return
        }
        if (fate == WriteFate.REFUSED) return limit.claimFailed(ClaimFailure.UNAVAILABLE, nowMs)
        val ifVersion = version
        val claim = limit.claim(row, nowMs, nowMs) ?: return
        when (fate) {
            WriteFate.LATE -> late = late + Late(nowMs + random.nextLong(LATE_MS), claim.row, ifVersion)
            else -> apply(claim.row, ifVersion)
        }
        if (fate == WriteFate.APPLIED) {
            limit.claimSucceeded(claim, nowMs, nowMs)
        } else {
            limit.claimFailed(ClaimFailure.UNAVAILABLE, nowMs)
        }
    }

    /** Runs until [untilMs]; entry i has requests all the time while [hasDemand] holds for it. */
    fun run(
        untilMs: Long,
        hasDemand: (entry: Int, nowMs: Long) -> Boolean = { _, _ -> true },
        check: () -> Unit = {},
    ) {
        while (nowMs < untilMs) {
            nowMs += STEP_MS
            late.filter { it.atMs <= nowMs }.forEach { apply(it.row, it.ifVersion) }
            late = late.filter { it.atMs > nowMs }
            limits.forEachIndexed { entry, limit ->
                if (hasDemand(entry, nowMs)) demand[entry].record(nowMs)
                if (limit.isClaimDue(nowMs)) claim(entry, limit)
                if (hasDemand(entry, nowMs) && limit.hasPermit(nowMs)) {
                    limit.requestStarted(nowMs)
                    sentMs += nowMs
                }
            }
            check()
        }
    }

    /** The most requests that the instance got within any four seconds from [fromMs] on. */
    fun mostInFourSeconds(fromMs: Long = 0): Int {
        val times = sentMs.filter { it >= fromMs }
        return times.maxOfOrNull { end -> times.count { it in end - 3_999..end } } ?: 0
    }

    fun sentBetween(
        fromMs: Long,
        toMs: Long,
    ): Int = sentMs.count { it in fromMs until toMs }

    private companion object {
        const val LATE_MS = 6_000L
    }
}

class InstanceLimitTest :
    FunSpec({
        test("the shares in use never exceed the limit, whatever the store loses or applies late") {
            repeat(60) { seed ->
                val random = Random(seed)
                val perSecond = listOf(0.5, 1.0, 5.0, 50.0).random(random)
                val entries = 2 + random.nextInt(8)
                val busy = List(entries) { random.nextInt(20) }
                val fleet =
                    Fleet(entries, random, perSecond) {
                        if (random.nextInt(3) > 0) WriteFate.APPLIED else WriteFate.entries.random(random)
                    }
                // Entries are busy and idle by turns, so that shares are given up, expire and are taken again.
                fleet.run(60_000, hasDemand = { entry, nowMs -> (nowMs / 1_000 + busy[entry]) % 20 < 12 }) {
                    withClue("seed $seed, limit $perSecond, $entries entries, at ${fleet.nowMs} ms") {
                        fleet.totalRate shouldBeLessThanOrEqual perSecond + ROUNDING
                    }
                }
            }
        }

        test("busy entries share a limit equally and use nearly all of it") {
            val fleet = Fleet(entries = 4, Random(1), perSecond = 8.0)
            fleet.run(30_000)
            fleet.limits.forEach { (it.sharePerSecond(fleet.nowMs) ?: 0.0) shouldBe 2.0 }
            fleet.sentBetween(10_000, 30_000) shouldBeInRange 150..160
            fleet.mostInFourSeconds() shouldBeLessThanOrEqual 4 * 8 + 4
        }

        test("the share of an idle entry goes to a busy one within the time of a lease") {
            val fleet = Fleet(entries = 2, Random(1), perSecond = 10.0)
            fleet.run(10_000)
            fleet.run(30_000, hasDemand = { entry, _ -> entry == 0 })
            fleet.limits[0].sharePerSecond(fleet.nowMs) shouldBe 10.0
        }

        test("entries that are idle together and then send together stay within the limit") {
            val fleet = Fleet(entries = 40, Random(1), perSecond = 1.0)
            fleet.run(90_000, hasDemand = { _, nowMs -> nowMs / 10_000 % 3 == 0L })
            fleet.mostInFourSeconds() shouldBeLessThanOrEqual 4 + maxHolders(1.0)
        }

        test("more entries than shares take turns") {
            val fleet = Fleet(entries = 12, Random(1), perSecond = 1.0)
            val holders = HashSet<Int>()
            fleet.run(120_000) {
                holders += fleet.limits.indices.filter { (fleet.limits[it].sharePerSecond(fleet.nowMs) ?: 0.0) > 0 }
            }
            holders.size shouldBeGreaterThan 2 * maxHolders(1.0)
        }

        test("when a limit falls, the first holders keep their shares and the instance stays in use") {
            val fleet = Fleet(entries = 20, Random(1), perSecond = 20.0)
            fleet.run(10_000)
            fleet.limits.forEach { it.recordResponse(listOf("1"), fleet.nowMs, fleet.nowMs) }
            fleet.run(30_000) { fleet.totalRate shouldBeLessThanOrEqual 1.0 + ROUNDING }
            fleet.sentBetween(11_000, 15_000) shouldBeGreaterThan 0
            fleet.sentBetween(15_000, 18_000) shouldBeGreaterThan 0
            fleet.mostInFourSeconds(fromMs = 11_000) shouldBeLessThanOrEqual 4 + 20
            fleet.mostInFourSeconds(fromMs = 15_000) shouldBeLessThanOrEqual 4 + maxHolders(1.0)
        }

        test("without the store, entries together send at most half of the limit, after the leases have ended") {
            listOf(3, 30).forEach { entries ->
                var isAway = false
                val fleet =
                    Fleet(entries, Random(1), perSecond = 2.0) { if (isAway) WriteFate.REFUSED else WriteFate.APPLIED }
                fleet.run(10_000)
                isAway = true
                fleet.run(18_000)
                fleet.totalRate shouldBe 0.0
                fleet.run(138_000)
                withClue("$entries entries") {
                    fleet.sentBetween(26_000, 126_000) shouldBeInRange 80..100 + entries
                    fleet.mostInFourSeconds(fromMs = 20_000) shouldBeLessThanOrEqual 12
                }
            }
        }

        test("an idle entry that reaches the store sends nothing without a share") {
            val fleet = Fleet(entries = 2, Random(1), perSecond = 20.0)
            fleet.run(60_000, hasDemand = { _, nowMs -> nowMs < 10_000 })
            fleet.limits.forEach { it.hasPermit(fleet.nowMs) shouldBe false }
        }

        test("a restore of the store that loses the shares in use exceeds the limit by less than half") {
            repeat(20) { seed ->
                val random = Random(seed)
                val perSecond = listOf(1.0, 5.0, 50.0).random(random)
                val fleet = Fleet(entries = 2 + random.nextInt(20), random, perSecond)
                repeat(3) {
                    val copy = fleet.copy()
                    fleet.run(fleet.nowMs + 1_000 + random.nextLong(9_000))
                    fleet.restore(copy)
                    fleet.run(fleet.nowMs + 5_000)
                }
                withClue("seed $seed, limit $perSecond") {
                    fleet.mostInFourSeconds() shouldBeLessThanOrEqual (1.5 * 4 * perSecond + 5).toInt()
                }
            }
        }

        test("an announcement that a restored store brings back does not replace a later one") {
            val limit = InstanceLimit("a", ArrivalRate(), { 1 }, { 2 })
            limit.adopt(LimitAnnouncement(null, atMs = 1_000), nowMs = 10, storeMs = 1_010)
            limit.adopt(LimitAnnouncement(2.0, atMs = 2_000), nowMs = 1_010, storeMs = 2_010)
            limit.storeRestored(nowMs = 2_000)
            limit.adopt(LimitAnnouncement(null, atMs = 1_000), nowMs = 2_010, storeMs = 3_010)
            limit.perSecond shouldBe 2.0
        }

        test("a limit that the entry has learned itself is announced again after a restore") {
            val limit = InstanceLimit("a", ArrivalRate(), { 1 }, { 2 })
            limit.recordResponse(listOf("2"), sentAtMs = 0, nowMs = 10)
            val announcement = checkNotNull(limit.announcementDue(nowMs = 20, storeMs = 1_020))
            limit.adopt(announcement, nowMs = 30, storeMs = 1_030)
            limit.announcementDue(nowMs = 2_000, storeMs = 3_000) shouldBe null
            limit.storeRestored(nowMs = 2_000)
            limit.announcementDue(nowMs = 2_010, storeMs = 3_010) shouldBe announcement
        }

        test("a limit of 0 leaves one request in four seconds") {
            val fleet = Fleet(entries = 5, Random(1), perSecond = 0.0)
            fleet.run(60_000)
            fleet.mostInFourSeconds() shouldBeLessThanOrEqual 2
            fleet.sentBetween(10_000, 60_000) shouldBeGreaterThan 8
        }

        test("an entry announces what it learns, once, and adopts what others have learned later") {
            val first = InstanceLimit("a", ArrivalRate(), { 1 }, { 2 })
            val second = InstanceLimit("b", ArrivalRate(), { 1 }, { 2 })
            first.recordResponse(listOf("3"), sentAtMs = 100, nowMs = 200)
            val limit = checkNotNull(first.announcementDue(nowMs = 300, storeMs = 5_300))
            limit shouldBe LimitAnnouncement(3.0, atMs = 5_200)
            first.adopt(limit, nowMs = 320, storeMs = 5_320)
            second.adopt(limit, nowMs = 350, storeMs = 5_350)
            second.perSecond shouldBe 3.0
            second.hasPermit(400) shouldBe false
            second.announcementDue(2_000, 7_000) shouldBe null
            first.recordResponse(emptyList(), sentAtMs = 2_000, nowMs = 2_100)
            val end = checkNotNull(first.announcementDue(nowMs = 2_150, storeMs = 7_150))
            second.recordResponse(listOf("3"), sentAtMs = 2_050, nowMs = 2_160)
            second.adopt(end, nowMs = 2_200, storeMs = 7_200)
            second.perSecond shouldBe 3.0
            checkNotNull(second.announcementDue(nowMs = 3_000, storeMs = 8_000)).perSecond shouldBe 3.0
        }

        test("the estimated wait is the time to the next permit") {
            val fleet = Fleet(entries = 1, Random(1), perSecond = 2.0)
            fleet.run(5_000)
            val waitMs = fleet.limits[0].waitMs(fleet.nowMs)
            fleet.limits[0].hasPermit(fleet.nowMs + waitMs - STEP_MS) shouldBe false
            fleet.limits[0].hasPermit(fleet.nowMs + waitMs + STEP_MS) shouldBe true
            (fleet.limits[0].sharePerSecond(fleet.nowMs) ?: 0.0) shouldBeGreaterThan 0.0
        }
    })
