/*
 * Guards against rows that the registry performs late: over random lives of one instance, none may make it available
 * again after it has been seen to drain or leave, and none may hide a process that is available.
 */
package io.teaselspring.core.registry

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import kotlin.random.Random

private const val HEARTBEAT_MS = 1_200L
private const val POLL_MS = 1_400L
private const val ROUND_TRIP_MS = 20L
private const val ROW_TIMEOUT_MS = 3 * HEARTBEAT_MS
private val lateMs = 1_000L..6_000L
private val id = InstanceId("a")

/** A write of the row [row], null for its deletion, that the registry performs at [atMs]. */
private class Write(
    val atMs: Long,
    val row: RegisteredInstance?,
)

private fun row(
    startedAtMs: Long,
    sequence: Long,
    isDraining: Boolean,
    slots: Int,
) = RegisteredInstance(
    id,
    UpstreamName("taquilla"),
    "10.0.0.1:80",
    DataCentre("oviedo"),
    slots,
    isDraining,
    startedAtMs,
    sequence = sequence,
)

/** The writes of [lives] processes after each other, some of them late; the slots of a row count its writes. */
private fun writes(
    lives: Int,
    random: Random,
): List<Write> {
    val writes = ArrayList<Write>()
    var nowMs = 0L
    repeat(lives) {
        val startedAtMs = nowMs
        val beats = random.nextInt(4, 20)
        val drainingFrom = beats - random.nextInt(0, 4)
        for (beat in 1..beats) {
            val delayMs = if (random.nextInt(4) == 0) random.nextLong(lateMs.first, lateMs.last) else ROUND_TRIP_MS
            writes += Write(nowMs + delayMs, row(startedAtMs, beat.toLong(), beat >= drainingFrom, slots = beat))
            nowMs += HEARTBEAT_MS
        }
        // Instances that leave delete their row; those that crash are silent until it lapses.
        writes += Write(nowMs + if (random.nextBoolean()) ROUND_TRIP_MS else 3 * HEARTBEAT_MS, null)
        nowMs += random.nextLong(0, 8_000)
    }
    return writes.sortedBy { it.atMs }
}

class LateRowPropertyTest :
    FunSpec({
        test("no process is available again after it was seen to drain or leave, and none stays hidden: 500 seeds") {
            var late = 0
            for (seed in 1..500) {
                val random = Random(seed)
                val writes = writes(lives = 4, random)
                val registry = InstanceRegistry(rowTimeoutMs = ROW_TIMEOUT_MS)
                val drained = HashSet<Long>()
                var newest: RegisteredInstance? = null
                var newestAtMs = 0L
                // The last row of the newest process if it has left, and whether it has reported since.
                var leftRow: RegisteredInstance? = null
                var hasReported = false
                var performed = 0
                for (nowMs in 0..writes.last().atMs step POLL_MS) {
                    val due = writes.drop(performed).takeWhile { it.atMs <= nowMs }
                    performed += due.size
                    // A poll returns the last row only.
                    val last = due.lastOrNull()
                    if (last != null) {
                        val seen = last.row
                        val before = newest
                        val wasListed = registry.instances.isNotEmpty()
                        registry.update(id, seen, nowMs)
                        if (seen == null) {
                            if (wasListed) leftRow = newest.takeIf { nowMs - newestAtMs < ROW_TIMEOUT_MS }
                            hasReported = false
                        }
                        if (seen?.isDraining == true) drained += checkNotNull(seen.startedAtMs)
                        if (seen != null && (before == null || seen.isNewerThan(before))) {
                            val isNewProcess = before?.startedAtMs != seen.startedAtMs
                            if (isNewProcess || hasReported || seen.isDraining) leftRow = null
                            hasReported = true
                            newest = seen
                            newestAtMs = nowMs
                        } else {
                            late += 1
                            if (seen != null) hasReported = leftRow?.isNewerThan(seen) == false
                        }
                        val listed = registry.instances.singleOrNull()
                        withClue("seed $seed at $nowMs ms: $listed") {
                            if (listed != null && listed.startedAtMs in drained) listed.isDraining shouldBe true
                            if (leftRow != null) {
                                listed shouldBe null
                            } else if (seen != null && seen === newest && seen.startedAtMs !in drained) {
                                listed shouldBe seen
                            }
                            if (seen != null && seen !== newest && listed != null) listed.slots shouldBe newest?.slots
                        }
                    }
                    registry.expire(nowMs)
                    registry.applyLastingRows(nowMs)
                }
            }
            late shouldBeGreaterThan 1_000
        }
    })

private fun RegisteredInstance.isNewerThan(other: RegisteredInstance): Boolean {
    val start = checkNotNull(startedAtMs)
    val otherStart = checkNotNull(other.startedAtMs)
    return start > otherStart || (start == otherStart && checkNotNull(sequence) > checkNotNull(other.sequence))
}
