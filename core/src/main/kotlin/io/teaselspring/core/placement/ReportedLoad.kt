/*
 * The load that an instance reports with its responses.
 */
package io.teaselspring.core.placement

/**
 * Requests running and waiting on an instance, and its slots. [workTimePct] is how long work takes on the instance's
 * machine now, in percent of the usual time; null if the instance does not state it. It changes many times a second.
 */
public data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val workTimePct: Int? = null,
)

/**
 * Parses a comma-separated load report: running, waiting, slots, and possibly the work time; further figures are
 * ignored. An unreadable work time counts as not stated. Null if one of the first three is not a number.
 */
public fun parseLoadReport(text: String): ReportedLoad? {
    val figures = text.split(',').map { it.trim().toIntOrNull()?.takeIf { figure -> figure >= 0 } }
    val (running, waiting, slots) =
        figures.take(REQUIRED_FIGURES).filterNotNull().takeIf { it.size == REQUIRED_FIGURES }
            ?: return null
    return ReportedLoad(running, waiting, slots, figures.getOrNull(REQUIRED_FIGURES)?.takeIf { it > 0 })
}

private const val REQUIRED_FIGURES = 3
