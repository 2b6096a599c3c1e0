/*
 * Leader election by a lease in the store. This is the state machine of one candidate: when it may acquire the lease,
 * when it renews it, and until when it may act under it. The row is written by compare-and-set on its version, and the
 * epoch is the fencing token that goes with each order. No two processes may act at the same time, whatever is delayed,
 * lost or paused, as long as the monotonic clocks of both run at about the same rate; the clocks of two processes are
 * never compared with each other.
 */
package io.teaselspring.core.lease

import io.teaselspring.core.Incarnation
import kotlin.math.abs

private data class HeldLease(
    val epoch: Long,
    val untilMs: Long,
    val renewAtMs: Long,
)

private data class ObservedRow(
    val row: LeaseRow?,
    val rowVersion: Long,
    val atMs: Long,
)

private data class PendingWrite(
    val row: LeaseRow,
    val sentAtMs: Long,
)

/**
 * The state machine of the process [own]. [nextWriteId] returns a new id at each call, [generation] the generation of
 * the store, null if the store names none. At most one read or write is in flight at a time. Not thread-safe.
 */
public class Lease(
    private val own: Incarnation,
    private val times: LeaseTimes,
    private val generation: () -> Long? = { null },
    private val nextWriteId: () -> String,
) {
    private var lastReading: ClockReading? = null
    private var observed: ObservedRow? = null
    private var held: HeldLease? = null
    private var pending: PendingWrite? = null
    private var isOperationInFlight = false
    private var nextReadMs = Long.MIN_VALUE
    private var nextWriteMs = Long.MIN_VALUE
    private var resignedAtMs: Long? = null

    /** The highest epoch seen. A write from before a restore may come late and bring back a lower one. */
    private var highestEpoch = 0L

    /** Epoch of the last row observed, 0 if none. */
    public val lastEpoch: Long get() = observed?.row?.epoch ?: 0

    /** Holder in the last row observed. */
    public val lastHolder: Incarnation? get() = observed?.row?.holder

    /**
     * The epoch, as a fencing token, under which this process may send an order at [now], or null if it may not. Must
     * be called directly before each send.
     */
    public fun epochToSend(now: ClockReading): Long? {
        val jumped = hasClockJumped(now)
        val current = held
        return if (current == null || jumped || now.monotonicMs >= current.untilMs) null else current.epoch
    }

    /** Applies [event] at [now] and returns the actions to carry out, in order. */
    public fun step(
        event: LeaseEvent,
        now: ClockReading,
    ): List<LeaseAction> {
        val actions = mutableListOf<LeaseAction>()
        if (hasClockJumped(now)) resetAfterClockJump(now, actions)
        lastReading = now
        when (event) {
            LeaseEvent.Tick -> Unit
            is LeaseEvent.Read -> onRead(event, now, actions)
            LeaseEvent.ReadFailed -> endOperation(now.monotonicMs + times.retryMs)
            is LeaseEvent.Written -> onWritten(event.rowVersion, now, actions)
            LeaseEvent.WriteFailed -> onWriteFailed(now)
            LeaseEvent.WriteUnclear -> endOperation(now.monotonicMs)
            LeaseEvent.StoreRestored -> onStoreRestored(now, actions)
            LeaseEvent.Resign -> onResign(now, actions)
        }
        held?.let { if (now.monotonicMs >= it.untilMs) endTerm("expired", actions) }
        // What follows a restore is due at the next tick: the event comes from within a read or a write.
        if (!isOperationInFlight && event != LeaseEvent.StoreRestored) nextAction(now)?.let { actions += it }
        return actions
    }

    private fun hasClockJumped(now: ClockReading): Boolean {
        val last = lastReading ?: return false
        val monotonicMs = now.monotonicMs - last.monotonicMs
        val wallMs = now.wallMs - last.wallMs
        return abs(wallMs - monotonicMs) > times.jumpMs
    }

    /** After a clock jump no recorded time is valid, whichever way the clock moved. */
    private fun resetAfterClockJump(
        now: ClockReading,
        actions: MutableList<LeaseAction>,
    ) {
        endTerm("clock jump", actions)
        observed = observed?.copy(atMs = now.monotonicMs)
        pending = null
        nextReadMs = now.monotonicMs
    }

    private fun onStoreRestored(
        now: ClockReading,
        actions: MutableList<LeaseAction>,
    ) {
        endTerm("store restored", actions)
        observed = null
        pending = null
        nextReadMs = now.monotonicMs
    }

    private fun endOperation(readAtMs: Long) {
        isOperationInFlight = false
        nextReadMs = readAtMs
    }

    private fun onWriteFailed(now: ClockReading) {
        isOperationInFlight = false
        pending = null
        held = held?.copy(renewAtMs = now.monotonicMs + times.retryMs)
        nextReadMs = now.monotonicMs + times.retryMs
        nextWriteMs = nextReadMs
    }

    private fun onRead(
        event: LeaseEvent.Read,
        now: ClockReading,
        actions: MutableList<LeaseAction>,
    ) {
        isOperationInFlight = false
        highestEpoch = maxOf(highestEpoch, event.row?.epoch ?: 0)
        nextReadMs = now.monotonicMs + times.pollMs
        val write = pending
        pending = null
        if (write != null && event.row == write.row) {
            startOrExtendTerm(write, event.rowVersion, now, actions)
            return
        }
        val isNew = observed?.rowVersion != event.rowVersion
        if (isNew || observed == null) observed = ObservedRow(event.row, event.rowVersion, now.monotonicMs)
        val current = held
        if (current != null &&
            (event.row?.holder != own || event.row.epoch != current.epoch)
        ) {
            endTerm("taken over", actions)
        }
    }

    private fun onWritten(
        rowVersion: Long,
        now: ClockReading,
        actions: MutableList<LeaseAction>,
    ) {
        isOperationInFlight = false
        nextReadMs = now.monotonicMs + times.pollMs
        val write = pending
        pending = null
        // A clock jump invalidated the time at which the write was sent; the row is read again.
        if (write == null) nextReadMs = now.monotonicMs else startOrExtendTerm(write, rowVersion, now, actions)
    }

    private fun startOrExtendTerm(
        write: PendingWrite,
        rowVersion: Long,
        now: ClockReading,
        actions: MutableList<LeaseAction>,
    ) {
        observed = ObservedRow(write.row, rowVersion, now.monotonicMs)
        highestEpoch = maxOf(highestEpoch, write.row.epoch)
        if (write.row.holder == null || resignedAtMs != null) return
        val isNew = held?.epoch != write.row.epoch
        val untilMs = write.sentAtMs + times.durationMs - times.safetyMs
        if (now.monotonicMs >= untilMs) return
        held = HeldLease(write.row.epoch, untilMs, write.sentAtMs + times.renewMs)
        if (isNew) actions += LeaseAction.Acquired(write.row.epoch)
    }

    private fun endTerm(
        reason: String,
        actions: MutableList<LeaseAction>,
    ) {
        held?.let { actions += LeaseAction.Ended(it.epoch, reason) }
        held = null
    }

    private fun onResign(
        now: ClockReading,
        actions: MutableList<LeaseAction>,
    ) {
        if (resignedAtMs == null) resignedAtMs = now.monotonicMs
        endTerm("resigned", actions)
    }

    private fun nextAction(now: ClockReading): LeaseAction? {
        val last = observed
        val renewAtMs = held?.renewAtMs
        val mayWrite = pending == null && now.monotonicMs >= nextWriteMs
        return when {
            resignedAtMs != null -> releaseWhenDue(now)
            mayWrite && renewAtMs != null && last != null && now.monotonicMs >= renewAtMs ->
                startWrite(newRow(lastEpoch, now), last.rowVersion, now)
            mayWrite && held == null && last != null && mayAcquire(last, now) ->
                startWrite(newRow(nextEpoch(last.row), now), last.rowVersion, now)
            (held == null || pending != null) && now.monotonicMs >= nextReadMs -> startRead()
            else -> null
        }
    }

    private fun newRow(
        epoch: Long,
        now: ClockReading,
    ) = LeaseRow(own, epoch, nextWriteId(), now.storeMs, generation())

    /**
     * The epoch after that of [row]. If the row is from before restores, epochs that nobody knows any more may have
     * been given out in each of the generations since; they are skipped.
     */
    private fun nextEpoch(row: LeaseRow?): Long {
        val next = maxOf(row?.epoch ?: 0, highestEpoch) + 1
        val current = generation()
        if (current == null || !isFromBeforeRestore(row)) return next
        if (row == null) return maxOf(next, EPOCHS_PER_GENERATION * current + 1)
        return next + EPOCHS_PER_GENERATION * (current - (row.generation ?: (current - 1)))
    }

    /** Whether a restore may have undone a later row than [row]; of an absent row that is never known. */
    private fun isFromBeforeRestore(row: LeaseRow?): Boolean {
        val current = generation() ?: return false
        return row == null || row.generation != current
    }

    /**
     * Whether no other process can still act under the row [last], or under one that a restore has undone; the process
     * may always replace its own row of this generation.
     */
    private fun mayAcquire(
        last: ObservedRow,
        now: ClockReading,
    ): Boolean {
        val holder = last.row?.holder
        val hasWaited = now.monotonicMs - last.atMs >= times.takeoverMs
        return when {
            isFromBeforeRestore(last.row) -> hasWaited
            holder == null || holder == own -> true
            else -> hasWaited || isExpiredByStoreClock(last.row, now)
        }
    }

    /**
     * Whether [row] is older than the takeover time by the store's clock, which gives the age also to a process that
     * has read the row for the first time.
     */
    private fun isExpiredByStoreClock(
        row: LeaseRow,
        now: ClockReading,
    ): Boolean {
        val writtenMs = row.storeMs
        val storeMs = now.storeMs
        return writtenMs != null && storeMs != null && storeMs - writtenMs >= times.takeoverMs
    }

    /** The write that releases the lease; due when every order sent before has arrived or passed its deadline. */
    private fun releaseWhenDue(now: ClockReading): LeaseAction? {
        val last = observed ?: return null
        val row = last.row
        val sinceMs = now.monotonicMs - checkNotNull(resignedAtMs)
        val isDue = sinceMs >= times.orderDeadlineMs && pending == null && now.monotonicMs >= nextWriteMs
        return if (isDue && row?.holder == own) {
            startWrite(LeaseRow(null, row.epoch, nextWriteId(), generation = generation()), last.rowVersion, now)
        } else {
            null
        }
    }

    private fun startRead(): LeaseAction {
        isOperationInFlight = true
        return LeaseAction.Read
    }

    private fun startWrite(
        row: LeaseRow,
        ifVersion: Long,
        now: ClockReading,
    ): LeaseAction {
        isOperationInFlight = true
        pending = PendingWrite(row, now.monotonicMs)
        return LeaseAction.Write(row, ifVersion)
    }

    private companion object {
        /** More than the holders that a lease has within the largest age of a copy. */
        const val EPOCHS_PER_GENERATION = 1_000L
    }
}
