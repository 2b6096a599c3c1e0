/*
 * Settings of the scheduler of one agent and the load that it reports.
 */
package io.teaselspring.core.admission

import io.teaselspring.core.registry.Availability

/**
 * Snapshot of the load of one upstream, as reported to entries. [availability] is what the upstream has said of itself,
 * with the time [pausedForMs] until the end of a pause; [draining] covers an upstream that is leaving.
 */
public data class SchedulerLoad(
    val running: Int,
    val queued: Int,
    val limit: Int,
    val lowestTier: Int?,
    val firstTokenEstimateMs: Long,
    val draining: Boolean,
    val availability: Availability = Availability.OPEN,
    val pausedForMs: Long = 0,
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
