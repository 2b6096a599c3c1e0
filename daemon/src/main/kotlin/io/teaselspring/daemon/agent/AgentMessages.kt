/*
 * Conversion between the messages of a link and the types of the scheduler.
 */
package io.teaselspring.daemon.agent

import io.teaselspring.core.admission.AttemptId
import io.teaselspring.core.admission.OfferedRequest
import io.teaselspring.core.admission.RefusalReason
import io.teaselspring.core.admission.SchedulerLoad
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.NotRunReason
import io.teaselspring.protocol.RequestKind
import io.teaselspring.protocol.RunState
import io.teaselspring.protocol.UsageRecord

/** Retry delay that a refusal suggests when the scheduler has no estimate. */
internal const val DEFAULT_RETRY_AFTER_MS = 1_000L

internal fun Message.Submit.toOfferedRequest(nowMs: Long): OfferedRequest =
    OfferedRequest(
        id = AttemptId(requestId, attempt),
        organisation = organisation,
        organisationWeight = organisationWeight,
        keyId = keyId,
        serviceClass = serviceClass,
        tier = tier,
        classWeight = classWeight,
        firstTokenDeadlineMs = nowMs + firstTokenBudgetMs,
        betweenTokensTargetMs = betweenTokensTargetMs,
        deadlineMs = nowMs + deadlineMs,
        displace = displace,
        // Only an event stream can be resumed after it was preempted by another request.
        preemptible = kind == RequestKind.CHAT,
    )

internal fun Message.Submit.toNotRun(
    reason: NotRunReason,
    retryAfterMs: Long = DEFAULT_RETRY_AFTER_MS,
): Message.NotRun = Message.NotRun(requestId, attempt, reason, retryAfterMs)

internal fun Message.Submit.toFailed(
    detail: String,
    usage: UsageRecord?,
    keyWithdrawn: Boolean = false,
): Message.Failed = Message.Failed(requestId, attempt, RunState.UNKNOWN, detail, usage, keyWithdrawn)

internal fun RefusalReason.toNotRunReason(): NotRunReason =
    when (this) {
        RefusalReason.TOO_LATE, RefusalReason.EXPIRED -> NotRunReason.TOO_LATE
        RefusalReason.QUEUE_FULL, RefusalReason.UPSTREAM_PAUSED -> NotRunReason.QUEUE_FULL
        RefusalReason.DISPLACED -> NotRunReason.DISPLACED
        RefusalReason.DRAINING -> NotRunReason.DRAINING
        RefusalReason.UPSTREAM_DOWN -> NotRunReason.UPSTREAM_DOWN
        RefusalReason.KEY_WITHDRAWN -> NotRunReason.KEY_WITHDRAWN
        RefusalReason.DUPLICATE -> NotRunReason.DUPLICATE
    }

internal fun SchedulerLoad.toMessage(
    flushedUsageSequence: Long,
    configVersion: Long,
): Message.Load =
    Message.Load(
        running = running,
        queued = queued,
        limit = limit,
        lowestTier = lowestTier,
        firstTokenEstimateMs = firstTokenEstimateMs,
        flushedUsageSequence = flushedUsageSequence,
        draining = draining,
        configVersion = configVersion,
        pausedForMs = pausedForMs,
    )
