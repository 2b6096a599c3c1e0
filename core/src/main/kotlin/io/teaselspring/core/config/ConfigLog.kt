/*
 * One process's replica of the configuration, with the latest changes kept for peers that lag. Versions only rise: a
 * change is applied only if it is the next one, and a snapshot only if it is newer.
 */
package io.teaselspring.core.config

/** The result of [ConfigLog.applyNew]. */
public enum class ApplyResult {
    /** At least one change was applied. */
    APPLIED,

    /** The state already contained all the changes. */
    KNOWN,

    /** Nothing was applied, because an earlier change is missing. */
    GAP,
}

/** The state of one process. At most [maxRetainedChanges] changes are kept for peers. Not thread-safe. */
public class ConfigLog(
    initial: ConfigState = ConfigState(),
    private val maxRetainedChanges: Int = 600,
) {
    private val recentChanges = ArrayDeque<ConfigChange>()

    /** The state in force. */
    public var state: ConfigState = initial
        private set

    /** Applies those of [changes] that are next in sequence and skips those that the state already contains. */
    public fun applyNew(changes: List<ConfigChange>): ApplyResult {
        val before = state.version
        var hasGap = false
        changes.sortedBy { it.version }.forEach { change ->
            when {
                change.version <= state.version -> Unit
                change.version == state.version + 1 -> apply(change)
                else -> hasGap = true
            }
        }
        return when {
            state.version > before -> ApplyResult.APPLIED
            hasGap -> ApplyResult.GAP
            else -> ApplyResult.KNOWN
        }
    }

    /** Replaces the state by [snapshot] if that is newer, and returns whether it did. */
    public fun installSnapshot(snapshot: ConfigState): Boolean {
        if (snapshot.version <= state.version) return false
        state = snapshot
        recentChanges.clear()
        return true
    }

    /** All changes after [version], or null if some are no longer retained and the peer needs a snapshot. */
    public fun changesAfter(version: Long): List<ConfigChange>? {
        val missing = state.version - version
        return when {
            missing <= 0 -> emptyList()
            missing > recentChanges.size -> null
            else -> recentChanges.takeLast(missing.toInt())
        }
    }

    /** The latest [count] retained changes, newest first. */
    public fun recent(count: Int): List<ConfigChange> = recentChanges.takeLast(count).reversed()

    private fun apply(change: ConfigChange) {
        state = state.applying(change)
        recentChanges.addLast(change)
        while (recentChanges.size > maxRetainedChanges) recentChanges.removeFirst()
    }
}
