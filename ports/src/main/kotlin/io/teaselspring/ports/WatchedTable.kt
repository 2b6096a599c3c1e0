/*
 * Watch interface for tables that other systems write: a snapshot read, and a change feed by long polling.
 */
package io.teaselspring.ports

import arrow.core.Either
import kotlin.time.Duration

/**
 * Snapshot of a table at [version]. The value of an unusable row is null. [storeMs] is the time of the store's
 * monotonic clock in the response, null if the store states none.
 */
public data class TableContent<T>(
    val entries: Map<String, T?>,
    val version: Long,
    val storeMs: Long? = null,
)

/** Result of [WatchedTable.changes]. */
public sealed interface TableChanges<out T> {
    /**
     * The rows that changed up to [version]; the value of a deleted or unusable row is null. [storeMs] is as in
     * [TableContent].
     */
    public data class Changed<T>(
        val entries: Map<String, T?>,
        val version: Long,
        val storeMs: Long? = null,
    ) : TableChanges<T>

    /** The requested history is no longer kept; the caller must read the whole table again. */
    public data object HistoryLost : TableChanges<Nothing>
}

/** A watched table. Both calls return the latest state at some moment after they were sent. */
public interface WatchedTable<T> {
    /** Reads the whole table. */
    public suspend fun read(): Either<PlatformError, TableContent<T>>

    /** Long-polls for changes after version [after]; returns as soon as there is one, or none after [wait]. */
    public suspend fun changes(
        after: Long,
        wait: Duration,
    ): Either<PlatformError, TableChanges<T>>
}
