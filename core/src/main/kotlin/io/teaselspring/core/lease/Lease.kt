/*
 * One process's side of a lease: when it may take it, when it renews it, and until when it may act under it. No two
 * processes may act at the same time, whatever is delayed, lost or paused, as long as the monotonic clocks of both
 * run at about the same rate; clocks are never compared between processes.
 */
package io.teaselspring.core.lease

import io.teaselspring.core.Incarnation
import kotlin.math.abs

/** What happened. The results of a read or write carry no time: it is taken when the action was given out. */
public sealed interface LeaseEvent {
    /** Time has passed. */
    public data object Tick : LeaseEvent

    /** The row was read; a null [row] means that there is none, at [rowVersion] 0. */
    public data class Read(
        val row: LeaseRow?,
        val rowVersion: Long,
    ) : LeaseEvent

    /** The row cannot be read. */
    public data object ReadFailed : LeaseEvent

    /** The write was applied and the row has [rowVersion]. */
    public data class Written(
        val rowVersion: Long,
    ) : LeaseEvent

    /** The write was certainly not applied. */
    public data object WriteFailed : LeaseEvent

    /** The condition did not hold, or it is not known whether the write was applied. */
    public data object WriteUnclear : LeaseEvent

    /** The process stops and gives the lease up. */
    public data object Resign : LeaseEvent
}

/** What to do next; the result of each Read and Write is passed back as an event. */
public sealed interface LeaseAction {
    /** Read the row. */
    public data object Read : LeaseAction

    /** Write [row] if the stored row is at [ifVersion]. */
    public data class Write(
        val row: LeaseRow,
        val ifVersion: Long,
    ) : LeaseAction

    /** This process holds the lease from now on. */
    public data class Began(
        val epoch: Long,
    ) : LeaseAction

    /** This process no longer holds the lease. */
    public data class Ended(
        val epoch: Long,
        val reason: String,
    ) : LeaseAction
}

private data class Held(
    val epoch: Long,
    val untilMs: Long,
    val renewAtMs: Long,
)

private data class Seen(
    val row: LeaseRow?,
    val rowVersion: Long,
    val atMs: Long,
)

private data class PendingWrite(
    val row: LeaseRow,
    val sentAtMs: Long,
)

/**
 * The state machine of the process [own]. [nextWriteId] gives a new id at each call. Not thread-safe; at most one read
 * or write is under way.
 */
public class Lease(
    private val own: Incarnation,
    private val times: LeaseTimes,
    private val nextWriteId: () -> String,
) {
    private var lastReading: ClockReading? = null
    private var seen: Seen? = null
    private var held: Held? = null
    private var pending: PendingWrite? = null
    private var inFlight = false
    private var nextReadMs = Long.MIN_VALUE
    private var nextWriteMs = Long.MIN_VALUE
    private var resignedAtMs: Long? = null

    /** Epoch of the last row seen, 0 if none. */
    public val lastEpoch: Long get() = seen?.row?.epoch ?: 0

    /** Holder in the last row seen. */
    public val lastHolder: Incarnation? get() = seen?.row?.holder

    /** The epoch under which this process may send at [now], or null. Must be asked directly before each send. */
    public fun epochToSend(now: ClockReading): Long? {
        val jumped = hasJumped(now)
        val current = held
        return if (current == null || jumped || now.monotonicMs >= current.untilMs) null else current.epoch
    }

    /** Applies [event] at [now] and returns what to do, in order. */
    public fun step(
        event: LeaseEvent,
        now: ClockReading,
    ): List<LeaseAction> {
        val actions = mutableListOf<LeaseAction>()
        if (hasJumped(now)) forgetTimes(now, actions)
        lastReading = now
        when (event) {
            LeaseEvent.Tick -> Unit
            is LeaseEvent.Read -> read(event, now, actions)
            LeaseEvent.ReadFailed -> answered(now.monotonicMs + times.retryMs)
            is LeaseEvent.Written -> written(event.rowVersion, now, actions)
            LeaseEvent.WriteFailed -> failed(now)
            LeaseEvent.WriteUnclear -> answered(now.monotonicMs)
            LeaseEvent.Resign -> resign(now, actions)
        }
        held?.let { if (now.monotonicMs >= it.untilMs) end("expired", actions) }
        if (!inFlight) next(now)?.let { actions += it }
        return actions
    }

    private fun hasJumped(now: ClockReading): Boolean {
        val last = lastReading ?: return false
        val monotonicMs = now.monotonicMs - last.monotonicMs
        val wallMs = now.wallMs - last.wallMs
        return abs(wallMs - monotonicMs) > times.jumpMs
    }

    /** After a jump no time kept so far can be relied on, in either direction. */
    private fun forgetTimes(
        now: ClockReading,
        actions: MutableList<LeaseAction>,
    ) {
        end("clock jump", actions)
        seen = seen?.copy(atMs = now.monotonicMs)
        pending = null
        nextReadMs = now.monotonicMs
    }

    private fun answered(readAtMs: Long) {
        inFlight = false
        nextReadMs = readAtMs
    }

    private fun failed(now: ClockReading) {
        inFlight = false
        pending = null
        held = held?.copy(renewAtMs = now.monotonicMs + times.retryMs)
        nextReadMs = now.monotonicMs + times.retryMs
        nextWriteMs = nextReadMs
    }

    private fun read(
        event: LeaseEvent.Read,
        now: ClockReading,
        actions: MutableList<LeaseAction>,
    ) {
        inFlight = false
        nextReadMs = now.monotonicMs + times.pollMs
        val write = pending
        pending = null
        if (write != null && event.row == write.row) {
            hold(write, event.rowVersion, now, actions)
            return
        }
        val isNew = seen?.rowVersion != event.rowVersion
        if (isNew || seen == null) seen = Seen(event.row, event.rowVersion, now.monotonicMs)
        val current = held
        if (current != null &&
            (event.row?.holder != own || event.row.epoch != current.epoch)
        ) {
            end("taken over", actions)
        }
    }

    private fun written(
        rowVersion: Long,
        now: ClockReading,
        actions: MutableList<LeaseAction>,
    ) {
        inFlight = false
        nextReadMs = now.monotonicMs + times.pollMs
        val write = pending
        pending = null
        // After a jump the time of sending is not known; the row is read again.
        if (write == null) nextReadMs = now.monotonicMs else hold(write, rowVersion, now, actions)
    }

    private fun hold(
        write: PendingWrite,
        rowVersion: Long,
        now: ClockReading,
        actions: MutableList<LeaseAction>,
    ) {
        seen = Seen(write.row, rowVersion, now.monotonicMs)
        if (write.row.holder == null || resignedAtMs != null) return
        val isNew = held?.epoch != write.row.epoch
        val untilMs = write.sentAtMs + times.durationMs - times.safetyMs
        if (now.monotonicMs >= untilMs) return
        held = Held(write.row.epoch, untilMs, write.sentAtMs + times.renewMs)
        if (isNew) actions += LeaseAction.Began(write.row.epoch)
    }

    private fun end(
        reason: String,
        actions: MutableList<LeaseAction>,
    ) {
        held?.let { actions += LeaseAction.Ended(it.epoch, reason) }
        held = null
    }

    private fun resign(
        now: ClockReading,
        actions: MutableList<LeaseAction>,
    ) {
        if (resignedAtMs == null) resignedAtMs = now.monotonicMs
        end("resigned", actions)
    }

    private fun next(now: ClockReading): LeaseAction? {
        val last = seen
        val renewAtMs = held?.renewAtMs
        val mayWrite = pending == null && now.monotonicMs >= nextWriteMs
        return when {
            resignedAtMs != null -> giveUp(now)
            mayWrite && renewAtMs != null && last != null && now.monotonicMs >= renewAtMs ->
                write(LeaseRow(own, lastEpoch, nextWriteId(), now.storeMs), last.rowVersion, now)
            mayWrite && held == null && last != null && mayTake(last, now) ->
                write(LeaseRow(own, lastEpoch + 1, nextWriteId(), now.storeMs), last.rowVersion, now)
            (held == null || pending != null) && now.monotonicMs >= nextReadMs -> read()
            else -> null
        }
    }

    /** The row may be replaced when nobody can still act under it. A row of this very process is its own to replace. */
    private fun mayTake(
        last: Seen,
        now: ClockReading,
    ): Boolean {
        val holder = last.row?.holder
        return holder == null ||
            holder == own ||
            now.monotonicMs - last.atMs >= times.takeoverMs ||
            isExpired(last.row, now)
    }

    /** By the store's clock, which tells a row's age also to a process that has just read it. */
    private fun isExpired(
        row: LeaseRow,
        now: ClockReading,
    ): Boolean {
        val writtenMs = row.storeMs
        val storeMs = now.storeMs
        return writtenMs != null && storeMs != null && storeMs - writtenMs >= times.takeoverMs
    }

    /** Orders that were sent before must have arrived or been given up before another process may act. */
    private fun giveUp(now: ClockReading): LeaseAction? {
        val last = seen ?: return null
        val row = last.row
        val sinceMs = now.monotonicMs - checkNotNull(resignedAtMs)
        val isDue = sinceMs >= times.orderDeadlineMs && pending == null && now.monotonicMs >= nextWriteMs
        return if (isDue && row?.holder == own) {
            write(LeaseRow(null, row.epoch, nextWriteId()), last.rowVersion, now)
        } else {
            null
        }
    }

    private fun read(): LeaseAction {
        inFlight = true
        return LeaseAction.Read
    }

    private fun write(
        row: LeaseRow,
        ifVersion: Long,
        now: ClockReading,
    ): LeaseAction {
        inFlight = true
        pending = PendingWrite(row, now.monotonicMs)
        return LeaseAction.Write(row, ifVersion)
    }
}
