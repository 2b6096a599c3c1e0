/*
 * The record of requests that have run or were given up. A non-idempotent request is recorded by its id, so that no
 * attempt of it runs after another one; an idempotent request by the attempt, because it may be tried here again.
 */
package io.teaselspring.daemon.agent

import io.teaselspring.core.RequestId
import io.teaselspring.core.admission.AttemptId
import io.teaselspring.protocol.Message.Submit

/** What the record says about an offer. */
internal enum class Recorded {
    /** Nothing: it may run. */
    NEW,

    /** It was given up before it ran. */
    ABANDONED,

    /** It may have run. */
    RUN,

    /** The record is full, so that running it could not be remembered. */
    FULL,
}

/** Remembers requests for [keepMs] and at most [maxEntries] of them. Not thread-safe. */
internal class RunRecord(
    private val keepMs: Long = 15 * 60_000,
    private val maxEntries: Int = 100_000,
) {
    private class Entry(
        val atMs: Long,
        var abandonedAttempt: Int = 0,
        var runAttempt: Int = 0,
    )

    private val entries = LinkedHashMap<RequestId, Entry>()

    /** What is known about [submit]. */
    fun find(
        submit: Submit,
        nowMs: Long,
    ): Recorded {
        forgetOld(nowMs)
        val entry = entries[submit.requestId]
        return when {
            entry == null -> if (entries.size >= maxEntries) Recorded.FULL else Recorded.NEW
            entry.runAttempt >= submit.attempt -> Recorded.RUN
            entry.runAttempt > 0 && !submit.idempotent -> Recorded.RUN
            entry.abandonedAttempt >= submit.attempt -> Recorded.ABANDONED
            entry.abandonedAttempt > 0 && !submit.idempotent -> Recorded.ABANDONED
            else -> Recorded.NEW
        }
    }

    /** Records that [id] runs from now on. */
    fun run(
        id: AttemptId,
        nowMs: Long,
    ) {
        entry(id.requestId, nowMs).runAttempt = id.attempt
    }

    /** Takes back [run] after it has turned out that no byte of [id] left this process. */
    fun notRun(id: AttemptId) {
        entries[id.requestId]?.takeIf { it.runAttempt == id.attempt }?.runAttempt = 0
    }

    /** Records that nobody waits for [id] or an earlier attempt any more. */
    fun abandon(
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

    private fun forgetOld(nowMs: Long) {
        val oldest = entries.values.iterator()
        while (oldest.hasNext() && oldest.next().atMs + keepMs < nowMs) oldest.remove()
    }
}
