/*
 * Watched table in memory that can hang, fail, and be restored from a copy.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableChanges
import io.teaselspring.ports.TableContent
import io.teaselspring.ports.WatchedTable
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/**
 * A watched table in memory. While [isHanging], calls do not return; while [isUnavailable], they fail at once; while
 * [thrown] is set, they throw it.
 */
class FakeWatchedTable<T> : WatchedTable<T> {
    /** The rows with the version of their last change; the value of a deleted row is null. */
    class State<T>(
        val rows: Map<String, Pair<T?, Long>>,
        val version: Long,
    )

    private val state = MutableStateFlow(State<T>(emptyMap(), 0))
    var isHanging = false
    var isUnavailable = false
    var thrown: Exception? = null

    /** How many calls have thrown [thrown]. */
    var throws = 0
        private set

    /** Sets the row [key], or deletes it if [value] is null. */
    fun set(
        key: String,
        value: T?,
    ) {
        state.update { State(it.rows + (key to (value to it.version + 1)), it.version + 1) }
    }

    /** The table as it is now. */
    fun copy(): State<T> = state.value

    /** Brings back the rows of [copy] and its version, then applies [changes], which get the next versions again. */
    fun restore(
        copy: State<T>,
        changes: List<Pair<String, T?>> = emptyList(),
    ) {
        state.value =
            changes.fold(copy) { old, (key, value) ->
                State(old.rows + (key to (value to old.version + 1)), old.version + 1)
            }
    }

    override suspend fun read(): Either<PlatformError, TableContent<T>> {
        if (isHanging) awaitCancellation()
        throwIfAsked()
        if (isUnavailable) return unavailable().left()
        val now = state.value
        return TableContent(
            now.rows.filterValues { it.first != null }.mapValues { it.value.first },
            now.version,
        ).right()
    }

    override suspend fun changes(
        after: Long,
        wait: Duration,
    ): Either<PlatformError, TableChanges<T>> {
        withTimeoutOrNull(wait) { state.first { it.version != after } }
        if (isHanging) awaitCancellation()
        throwIfAsked()
        if (isUnavailable) return unavailable().left()
        val now = state.value
        if (now.version < after) return TableChanges.HistoryLost.right()
        val changed = now.rows.filterValues { it.second > after }.mapValues { it.value.first }
        return TableChanges.Changed(changed, now.version).right()
    }

    private fun throwIfAsked() {
        thrown?.let {
            throws += 1
            throw it
        }
    }

    private fun unavailable() = PlatformError.Unavailable("read", "fake", "away")
}
