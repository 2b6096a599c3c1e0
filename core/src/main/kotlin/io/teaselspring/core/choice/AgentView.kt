/*
 * An entry's view of one agent, which load balancing is based on. It combines the agent's load reports with the
 * entry's own measurements.
 */
package io.teaselspring.core.choice

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.ModelName
import io.teaselspring.core.UpstreamName

/**
 * State of one agent as seen by an entry. Times are on the entry's monotonic clock, in milliseconds. [sentSinceReport]
 * is the number of the entry's own offers since the report, less those that have been refused or have ended since (see
 * [UnreportedRequests]). [firstTokenAverageMs] and [betweenTokensAverageMs] are moving averages that the entry
 * measured. Until [ejectedUntilMs] the agent is ejected: it receives offers only when no other agent is eligible. Until
 * [pausedUntilMs] its upstream wants no requests, and the agent receives no offers.
 */
public data class AgentView(
    val instance: InstanceId,
    val dataCentre: DataCentre,
    val upstream: UpstreamName,
    val models: Set<ModelName>,
    val connected: Boolean = false,
    val draining: Boolean = false,
    val running: Int = 0,
    val queued: Int = 0,
    val limit: Int = 1,
    val lowestTier: Int? = null,
    val firstTokenEstimateMs: Long = 0,
    val reportedAtMs: Long = 0,
    val sentSinceReport: Int = 0,
    val firstTokenAverageMs: Double? = null,
    val betweenTokensAverageMs: Double? = null,
    val ejectedUntilMs: Long = 0,
    val pausedUntilMs: Long = 0,
)
