/*
 * Monotonic time as the state machines take it.
 */
package io.teaselspring.daemon

import kotlin.time.TimeSource

/** Milliseconds on a clock that never goes back; its zero has no meaning. */
typealias MonotonicMs = () -> Long

/** Milliseconds since this call. */
fun TimeSource.milliseconds(): MonotonicMs {
    val start = markNow()
    return { start.elapsedNow().inWholeMilliseconds }
}
