/*
 * At-most-once execution and deduplication: the record of requests that have run or were cancelled. A non-idempotent
 * request is recorded by its id, so that no second attempt of it runs; an idempotent request by attempt, because it may
 * be retried on the same agent.
 */
package io.teaselspring.daemon.agent

import io.teaselspring.core.RequestId
import io.teaselspring.core.admission.AttemptId
import io.teaselspring.protocol.Message.Submit

/** The recorded state of an offered attempt. */
internal enum class RecordedState {
    /** Not recorded; it may run. */
    NEW,

    /** Cancelled before it ran. */
    ABANDONED,

    /** It has run, or may have run. */
    RUN,

    /** The record is full, so that a run could not be recorded. */
    FULL,
}

/** Keeps at most [maxEntries] requests, each for [retentionMs]. Not thread-safe. */
internal class RunRecord(
    private val retentionMs: Long = 15 * 60_000,
    private val maxEntries: Int = 100_000,
) {
    private class Entry(
        val atMs: Long,
        var abandonedAttempt: Int = 0,
        var runAttempt: Int = 0,
    )

    private val entries = LinkedHashMap<RequestId, Entry>()

    /** Returns the recorded state of the attempt that [submit] offers. */
    fun stateOf(
        submit: Submit,
        nowMs: Long,
    ): RecordedState {
        evictExpired(nowMs)
        val entry = entries[submit.requestId]
        return when {
            entry == null -> if (entries.size >= maxEntries) RecordedState.FULL else RecordedState.NEW
            entry.runAttempt >= submit.attempt -> RecordedState.RUN
            entry.runAttempt > 0 && !submit.idempotent -> RecordedState.RUN
            entry.abandonedAttempt >= submit.attempt -> RecordedState.ABANDONED
            entry.abandonedAttempt > 0 && !submit.idempotent -> RecordedState.ABANDONED
            else -> RecordedState.NEW
        }
    }

    /** Records the start of a run of [id]. */
    fun recordRun(
        id: AttemptId,
        nowMs: Long,
    ) {
        entry(id.requestId, nowMs).runAttempt = id.attempt
    }

    /** Reverts [recordRun] when no byte of [id] was sent to the upstream. */
    fun undoRun(id: AttemptId) {
        entries[id.requestId]?.takeIf { it.runAttempt == id.attempt }?.runAttempt = 0
    }

    /** Records that the entry has cancelled [id], and with it all earlier attempts. */
    fun recordAbandoned(
        id: AttemptId,
        nowMs: Long,
    ) {
        val entry = entry(id.requestId, nowMs)
        entry.abandonedAttempt = maxOf(entry.abandonedAttempt, id.attempt)
    }

    private fun entry(
        id: RequestId,
        nowMs: Long,
    ) = entries.getOrPut(id) { Entry(nowMs) }

    private fun evictExpired(nowMs: Long) {
        val oldest = entries.values.iterator()
        while (oldest.hasNext() && oldest.next().atMs + retentionMs < nowMs) oldest.remove()
    }
}
