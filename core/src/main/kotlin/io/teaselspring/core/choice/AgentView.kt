/*
 * What an entry knows about one agent, from its load reports and from the entry's own observations.
 */
package io.teaselspring.core.choice

import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.ModelName
import io.teaselspring.core.UpstreamName

/**
 * What an entry knows about one agent. Times are on the entry's monotonic clock, in milliseconds. [sentSinceReport]
 * counts the entry's own offers since the report less those that were refused or ended since (see
 * [UnreportedRequests]). [firstTokenAverageMs] and [betweenTokensAverageMs] are the entry's own observations. Until
 * [ejectedUntilMs] the agent is ejected: it is offered work only when no other is eligible.
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
)
