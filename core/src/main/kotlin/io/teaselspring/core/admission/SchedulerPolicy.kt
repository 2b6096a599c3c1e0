/*
 * Settings of the scheduler of one agent and the load that it reports.
 */
package io.teaselspring.core.admission

/** Load of one upstream at one moment, as reported to entries. */
public data class SchedulerLoad(
    val running: Int,
    val queued: Int,
    val limit: Int,
    val lowestTier: Int?,
    val firstTokenEstimateMs: Long,
    val draining: Boolean,
)

/**
 * Settings of the scheduler. [maxRunning] is the largest batch the upstream is given and [maxQueued] the largest queue.
 * [recordKeepMs] is how long attempt ids are remembered to run each at most once.
 * [floorSharePct] is the share of starts that the lowest waiting classes get when no higher tier is hurt by it.
 */
public data class SchedulerPolicy(
    val maxRunning: Int,
    val maxQueued: Int = 256,
    val floorSharePct: Int = 5,
    val recordKeepMs: Long = 600_000,
)
