/*
 * The limits of engines as all entries of an emulation know and keep them, with a store that answers after a delay.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.InstanceId
import io.teaselspring.core.limit.ArrivalRate
import io.teaselspring.core.limit.ClaimFailure
import io.teaselspring.core.limit.InstanceLimit
import io.teaselspring.core.limit.LimitAnnouncement
import io.teaselspring.core.limit.RateShares
import io.teaselspring.core.limit.ShareClaim
import io.teaselspring.experiment.EventLoop
import kotlin.random.Random

private class StoredShares(
    val row: RateShares,
    val version: Long,
)

/** The limits of the engines with [ids] behind [entries] entries. */
class EntryLimits(
    private val entries: Int,
    private val ids: List<InstanceId>,
    private val loop: EventLoop,
    seed: Long,
) {
    private class Entry(
        val demand: ArrivalRate,
        val limits: Map<InstanceId, InstanceLimit>,
    )

    private val random = Random(seed)
    private val known = MutableList(entries, ::newEntry)
    private val rows = HashMap<InstanceId, StoredShares>()
    private val announced = HashMap<InstanceId, LimitAnnouncement>()
    private var isTicking = false

    /** Calls to the store. */
    var storeCalls = 0
        private set

    private fun newEntry(number: Int): Entry {
        val demand = ArrivalRate()
        return Entry(
            demand,
            ids.associateWith { InstanceLimit("entry-$number", demand, { ids.size }, { entries }, random) },
        )
    }

    fun limit(
        entry: Int,
        engine: InstanceId,
    ): InstanceLimit = known[entry].limits.getValue(engine)

    /** A request has arrived at [entry]. */
    fun recordDemand(entry: Int) = known[entry].demand.record(loop.nowMs)

    /** [entry] starts anew and reads what the others have announced. */
    fun restart(entry: Int) {
        known[entry] = newEntry(entry)
        announced.forEach { (engine, announcement) -> limit(entry, engine).adopt(announcement, loop.nowMs, loop.nowMs) }
    }

    /** Follows an attempt of [entry] on [engine] that is about to be sent. */
    fun observer(
        entry: Int,
        engine: EntryInstanceView,
    ): AttemptObserver {
        val sentAtMs = loop.nowMs
        limit(entry, engine.id).requestStarted(sentAtMs)
        return AttemptObserver(
            crashed = {},
            responded = {
                val headers = listOfNotNull(engine.engine.statedLimit?.toString())
                limit(entry, engine.id).recordResponse(headers, sentAtMs, loop.nowMs)
                if (!isTicking && headers.isNotEmpty()) tick()
            },
        )
    }

    private fun tick() {
        isTicking = true
        known.forEach { entry -> entry.limits.forEach(::update) }
        loop.after(TICK_US, ::tick)
    }

    private fun update(
        engine: InstanceId,
        limit: InstanceLimit,
    ) {
        limit.announcementDue(loop.nowMs, loop.nowMs)?.let { announcement ->
            storeCalls += 1
            loop.after(ANNOUNCE_US) {
                announced[engine] = announcement
                known.forEach { it.limits.getValue(engine).adopt(announcement, loop.nowMs, loop.nowMs) }
            }
        }
        if (!limit.isClaimDue(loop.nowMs)) return
        limit.claimStarted()
        storeCalls += 1
        loop.after(CALL_US) {
            val stored = rows[engine]
            val claim = limit.claim(stored?.row, loop.nowMs, loop.nowMs)
            if (claim != null) write(engine, limit, claim, stored?.version ?: 0)
        }
    }

    private fun write(
        engine: InstanceId,
        limit: InstanceLimit,
        claim: ShareClaim,
        ifVersion: Long,
    ) {
        val sentAtMs = loop.nowMs
        storeCalls += 1
        loop.after(CALL_US) {
            if ((rows[engine]?.version ?: 0) == ifVersion) {
                rows[engine] = StoredShares(claim.row, ifVersion + 1)
                limit.claimSucceeded(claim, sentAtMs, loop.nowMs)
            } else {
                limit.claimFailed(ClaimFailure.CONFLICT, loop.nowMs)
            }
        }
    }

    private companion object {
        const val TICK_US = 100_000L
        const val CALL_US = 12_000L

        /** One write and the polls of the other entries. */
        const val ANNOUNCE_US = 150_000L
    }
}
