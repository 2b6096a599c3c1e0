/*
 * Settings of the scheduler of one agent and the load that it reports.
 */
package io.teaselspring.core.admission

/** Snapshot of the load of one upstream, as reported to entries. */
public data class SchedulerLoad(
    val running: Int,
    val queued: Int,
    val limit: Int,
    val lowestTier: Int?,
    val firstTokenEstimateMs: Long,
    val draining: Boolean,
)

/**
 * Settings of the scheduler. [maxRunning] is the maximum batch size and [maxQueued] the maximum queue length.
 * [floorSharePct] is the percentage of starts reserved for the lowest waiting tier, as long as no request of a higher
 * tier misses its first-token deadline because of them. [dedupWindowMs] is how long attempt ids are kept so that each
 * attempt runs at most once.
 */
public data class SchedulerPolicy(
    val maxRunning: Int,
    val maxQueued: Int = 256,
    val floorSharePct: Int = 5,
    val dedupWindowMs: Long = 600_000,
)
