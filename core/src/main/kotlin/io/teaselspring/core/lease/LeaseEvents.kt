/*
 * Input and output of the lease's state machine.
 */
package io.teaselspring.core.lease

/**
 * Input of the state machine. The result of a write carries no time: the lease counts from the moment at which
 * [Lease.step] returned the write.
 */
public sealed interface LeaseEvent {
    /** Periodic event, on which due reads and writes start and an expired lease ends. */
    public data object Tick : LeaseEvent

    /** A read returned [row] at [rowVersion]; null and version 0 if there is no row. */
    public data class Read(
        val row: LeaseRow?,
        val rowVersion: Long,
    ) : LeaseEvent

    /** A read failed. */
    public data object ReadFailed : LeaseEvent

    /** The write was applied and the row has [rowVersion]. */
    public data class Written(
        val rowVersion: Long,
    ) : LeaseEvent

    /** The write was certainly not applied. */
    public data object WriteFailed : LeaseEvent

    /** The version condition did not hold, or it is unknown whether the write was applied. */
    public data object WriteUnclear : LeaseEvent

    /**
     * The store has been restored from an older copy. What was read and written before may be undone, and another
     * process may act under a row that is lost.
     */
    public data object StoreRestored : LeaseEvent

    /** The process is stopping and releases the lease. */
    public data object Resign : LeaseEvent
}

/** Output of the state machine. The caller passes the result of each [Read] and [Write] back as a [LeaseEvent]. */
public sealed interface LeaseAction {
    /** Read the row. */
    public data object Read : LeaseAction

    /** Write [row] on condition that the stored row is at [ifVersion] (compare-and-set). */
    public data class Write(
        val row: LeaseRow,
        val ifVersion: Long,
    ) : LeaseAction

    /** This process holds the lease from now on. */
    public data class Acquired(
        val epoch: Long,
    ) : LeaseAction

    /** This process no longer holds the lease, for [reason]. */
    public data class Ended(
        val epoch: Long,
        val reason: String,
    ) : LeaseAction
}
