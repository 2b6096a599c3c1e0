/*
 * A value as it was some time ago, for lists and reports that lag.
 */
package io.teaselspring.standins

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Keeps the states of the last [retention]; an older question is answered with the oldest state kept. */
internal class LaggedHistory<T>(
    initial: T,
    private val timeSource: TimeSource.WithComparableMarks,
    private val retention: Duration = 60.seconds,
) {
    private val states = ArrayDeque<Pair<ComparableTimeMark, T>>().apply { add(timeSource.markNow() to initial) }

    val latest: T
        @Synchronized get() = states.last().second

    @Synchronized
    fun record(state: T) {
        val now = timeSource.markNow()
        states.add(now to state)
        while (states.size > 1 && now - states[1].first > retention) states.removeFirst()
    }

    /** The state [ago]; the initial one if that was before the first. */
    @Synchronized
    fun at(ago: Duration): T {
        val instant = timeSource.markNow() - ago
        return (states.lastOrNull { it.first <= instant } ?: states.first()).second
    }
}
