/*
 * The quarantines of all entries in an emulation, which exchange their reports with a delay.
 */
package io.teaselspring.experiment.prompts

import io.teaselspring.core.InstanceId
import io.teaselspring.core.quarantine.CrashReport
import io.teaselspring.core.quarantine.PartQuarantine
import io.teaselspring.experiment.EventLoop

/** What an entry learns from an attempt: that its engine crashed, or that it had its first event. */
class AttemptObserver(
    val crashed: (hadEvent: Boolean) -> Unit,
    val responded: () -> Unit,
) {
    operator fun plus(other: AttemptObserver) =
        AttemptObserver(
            crashed = { hadEvent ->
                crashed(hadEvent)
                other.crashed(hadEvent)
            },
            responded = {
                responded()
                other.responded()
            },
        )
}

/** The quarantines of [entries] entries; without entries nothing is refused. */
class EntryQuarantines(
    entries: Int,
    private val loop: EventLoop,
) {
    private val quarantines = List(entries) { PartQuarantine("entry-$it") }
    private val shared = Array(entries) { CrashReport() }

    /** Number of refusals. */
    var refused = 0
        private set

    /** Whether the entry refuses [request]. */
    fun refuses(
        entry: Int,
        request: PromptRequest,
    ): Boolean {
        val quarantine = quarantines.getOrNull(entry) ?: return false
        return (quarantine.refusedForMs(request.sharedParts, loop.nowMs) != null).also { if (it) refused += 1 }
    }

    /** Follows an attempt of [request] by [entry] on [engine]. */
    fun observer(
        entry: Int,
        request: PromptRequest,
        engine: InstanceId,
    ): AttemptObserver {
        val quarantine = quarantines.getOrNull(entry) ?: return AttemptObserver({}, {})
        return AttemptObserver(
            crashed = { hadEvent ->
                val suspects = if (hadEvent) emptyList() else listOf(request.sharedParts)
                quarantine.recordCrash(engine, suspects, loop.nowMs)
                share(entry)
            },
            responded = {
                quarantine.recordResponse(request.sharedParts, loop.nowMs)
                share(entry)
            },
        )
    }

    private fun share(from: Int) {
        val report = quarantines[from].ownReport
        if (report == shared[from]) return
        shared[from] = report
        loop.after(SHARE_US) {
            quarantines.forEachIndexed { entry, quarantine ->
                if (entry != from) quarantine.replaceReports(mapOf("entry-$from" to report), loop.nowMs)
                share(entry)
            }
        }
    }

    private companion object {
        /** The probe, one write and the polls of the other entries. */
        const val SHARE_US = 500_000L
    }
}

private val PromptRequest.sharedParts get() = prompt.dropLast(1).mapTo(LinkedHashSet()) { it.id }
