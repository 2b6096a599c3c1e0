/*
 * The state dump for operators, as JSON. It contains no shared secret, no keys and no request content.
 */
package io.teaselspring.daemon.operations

import io.teaselspring.core.choice.AgentView
import io.teaselspring.core.registry.Availability
import io.teaselspring.daemon.entry.EntrySummary
import io.teaselspring.daemon.link.LinkIdentity
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Returns the dump of a process: its identity and readiness, and the fields that [putDetails] adds. */
fun stateDump(
    identity: LinkIdentity,
    isReady: Boolean,
    putDetails: JsonObjectBuilder.() -> Unit,
): JsonObject =
    buildJsonObject {
        put("instance", identity.instance.value)
        put("incarnation", identity.incarnation.value)
        put("role", identity.role.name.lowercase())
        put("data_centre", identity.dataCentre.value)
        identity.upstream?.let { put("upstream", it.value) }
        put("ready", isReady)
        putDetails()
    }

/** Adds the state of an entry at [nowMs] of its monotonic clock. */
fun JsonObjectBuilder.putEntry(
    summary: EntrySummary,
    configVersion: Long,
    nowMs: Long,
) {
    put("config_version", configVersion)
    put("running", summary.running)
    put("in_flight", summary.inFlight)
    put("agents", JsonArray(summary.agents.sortedBy { it.instance.value }.map { it.dump(nowMs) }))
}

/** Adds the state of an agent: whether its upstream is reachable and wants requests, and the counts of [summary]. */
fun JsonObjectBuilder.putAgent(
    summary: Map<String, Long>,
    isReachable: Boolean,
    availability: Availability,
) {
    put("upstream_reachable", isReachable)
    put("availability", availability.name.lowercase())
    summary.forEach { (name, value) -> put(name, value) }
}

private fun AgentView.dump(nowMs: Long) =
    buildJsonObject {
        put("instance", instance.value)
        put("data_centre", dataCentre.value)
        put("upstream", upstream.value)
        put("draining", draining)
        put("running", running)
        put("queued", queued)
        put("limit", limit)
        put("lowest_tier", lowestTier)
        put("first_token_estimate_ms", firstTokenEstimateMs)
        put("report_age_ms", nowMs - reportedAtMs)
        put("sent_since_report", sentSinceReport)
        put("avoided_for_ms", maxOf(0, ejectedUntilMs - nowMs))
        put("paused_for_ms", maxOf(0, pausedUntilMs - nowMs))
    }
