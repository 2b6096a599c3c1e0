/*
 * What one entry saw of crashes of instances, in the form that entries share with each other.
 */
package io.teaselspring.core.quarantine

import io.teaselspring.core.InstanceId

/**
 * A request that had no event of its response when its [instance] crashed. [atMs] is the time on the store's clock,
 * [parts] are the ids of the prompt's shared parts that are not known to have had a response just before. A crash
 * without such a request stands here once, without parts.
 */
public data class CrashedRequest(
    val atMs: Long,
    val instance: InstanceId,
    val parts: Set<String>,
)

/**
 * The crashed requests of one entry, oldest first, and for parts that any entry suspects the time of the last first
 * event of a response that this entry received. Times are milliseconds of the store's clock.
 */
public data class CrashReport(
    val requests: List<CrashedRequest> = emptyList(),
    val responses: Map<String, Long> = emptyMap(),
)
