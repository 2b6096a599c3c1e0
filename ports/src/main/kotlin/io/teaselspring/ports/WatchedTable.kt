/*
 * A table of the platform that other parties write and this system follows: what it holds, and what changed since.
 */
package io.teaselspring.ports

import arrow.core.Either
import kotlin.time.Duration

/** The entries of a table at [version]. A null entry stands for a row that names nothing usable. */
public data class TableContent<T>(
    val entries: Map<String, T?>,
    val version: Long,
)

/** What [WatchedTable.changes] returns. */
public sealed interface TableChanges<out T> {
    /** The rows that changed up to [version], null for those that are gone or name nothing usable. */
    public data class Changed<T>(
        val entries: Map<String, T?>,
        val version: Long,
    ) : TableChanges<T>

    /** The history asked for is no longer kept; the table has to be read as a whole. */
    public data object HistoryLost : TableChanges<Nothing>
}

/** A table that is followed. Both calls show the newest state at some moment after they were sent. */
public interface WatchedTable<T> {
    /** The whole table. */
    public suspend fun read(): Either<PlatformError, TableContent<T>>

    /** The changes after [after]; returns as soon as there is one, or empty after [wait]. */
    public suspend fun changes(
        after: Long,
        wait: Duration,
    ): Either<PlatformError, TableChanges<T>>
}
