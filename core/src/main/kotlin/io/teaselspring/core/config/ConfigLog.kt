/*
 * The configuration that one process knows, with the latest changes for peers that lag. Versions only rise: a change
 * applies only if it is the next one, and a snapshot only if it is newer.
 */
package io.teaselspring.core.config

/** What came of offering changes to a [ConfigLog]. */
public enum class LogResult {
    /** At least one change was new and is applied. */
    APPLIED,

    /** Nothing was new. */
    KNOWN,

    /** A change before the offered ones is missing. */
    GAP,
}

/**
 * The state of one process. [retained] is the number of changes kept for peers. Not thread-safe.
 */
public class ConfigLog(
    initial: ConfigState = ConfigState(),
    private val retained: Int = 600,
) {
    private val changes = ArrayDeque<ConfigChange>()

    /** The state in force. */
    public var state: ConfigState = initial
        private set

    /** Applies those of [offered] that are next in sequence; what is old is skipped. */
    public fun offer(offered: List<ConfigChange>): LogResult {
        val before = state.version
        var gap = false
        offered.sortedBy { it.version }.forEach { change ->
            when {
                change.version <= state.version -> Unit
                change.version == state.version + 1 -> apply(change)
                else -> gap = true
            }
        }
        return when {
            state.version > before -> LogResult.APPLIED
            gap -> LogResult.GAP
            else -> LogResult.KNOWN
        }
    }

    /** Replaces the state by [snapshot] if that is newer, and returns whether it was. */
    public fun install(snapshot: ConfigState): Boolean {
        if (snapshot.version <= state.version) return false
        state = snapshot
        changes.clear()
        return true
    }

    /** All changes after [version], or null if they are no longer kept and a snapshot is needed. */
    public fun changesAfter(version: Long): List<ConfigChange>? {
        val missing = state.version - version
        return when {
            missing <= 0 -> emptyList()
            missing > changes.size -> null
            else -> changes.takeLast(missing.toInt())
        }
    }

    /** The kept changes, newest first. */
    public fun recent(count: Int): List<ConfigChange> = changes.takeLast(count).reversed()

    private fun apply(change: ConfigChange) {
        state = state.applying(change)
        changes.addLast(change)
        while (changes.size > retained) changes.removeFirst()
    }
}
