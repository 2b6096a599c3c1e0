/*
 * Reports closed windows under the lease `lease/usage`. The figures of a window are frozen by a conditional write
 * before the first report, so that a retry, also by another process, sends the same figures.
 */
package io.teaselspring.daemon.usage

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import arrow.core.right
import io.teaselspring.core.Incarnation
import io.teaselspring.core.usage.FrozenWindow
import io.teaselspring.core.usage.UsageCount
import io.teaselspring.core.usage.UsageWindow
import io.teaselspring.core.usage.usageWindowNamed
import io.teaselspring.core.usage.usageWindowOf
import io.teaselspring.daemon.config.TABLE
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.UsageIntake
import io.teaselspring.ports.UsageReport
import io.teaselspring.ports.describe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.slf4j.LoggerFactory
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.usage")

/** Windows that a new lease holder looks back over for one that is not reported. */
private const val MAX_WINDOWS_BACK = 200

/** Reports that are stored again after a restore of the store; more than fall into the largest age of a copy. */
private const val MAX_SENT = 20

/** Whether a window can be reported. */
enum class WindowReadiness {
    /** Usage may still be added. */
    WAITING,

    /** The counts are final, or waiting for more is over. */
    READY,

    /** A restore of the store has undone writes, and it can no longer be known whether the window was reported. */
    UNKNOWN,
}

/** Name of the lease in the table. */
const val USAGE_LEASE = "lease/usage"

/**
 * Reports windows that ended at least [grace] ago; the grace leaves agents time for their last flush. [epochToSend]
 * tells whether this process holds the lease at this moment. A report is given up after [deadline], well within the
 * time that a successor waits. A window is closed only when its [readiness] says that no usage of it is missing, or
 * that waiting for it is over.
 */
class UsageReporter(
    private val own: Incarnation,
    private val table: UsageTable,
    private val intake: UsageIntake,
    private val clock: Clock,
    private val epochToSend: () -> Long?,
    private val lengthMs: Long,
    private val grace: Duration = 30.seconds,
    private val deadline: Duration = 1.seconds,
    private val readiness: suspend (UsageWindow) -> Either<PlatformError, WindowReadiness> =
        { WindowReadiness.READY.right() },
) {
    private class SentReport(
        val frozen: FrozenWindow,
        var isConfirmed: Boolean = false,
    )

    private var reportedUpTo: UsageWindow? = null

    /** The last reports that this process has sent or was about to send. */
    private val sent =
        object : LinkedHashMap<UsageWindow, SentReport>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<UsageWindow, SentReport>) = size > MAX_SENT
        }

    /** Looks for windows to report every [interval], until cancelled. */
    suspend fun run(interval: Duration = 5.seconds): Nothing {
        while (true) {
            delay(interval)
            if (epochToSend() != null) reportDue()
        }
    }

    /** Reports all windows that are due, in order; stops at the first error. */
    suspend fun reportDue(): Either<PlatformError, Unit> {
        val due = dueWindows().getOrElse { return it.left() }
        for (window in due) {
            val error =
                when (readiness(window).getOrElse { return it.left() }) {
                    WindowReadiness.WAITING -> break
                    WindowReadiness.READY -> report(window).leftOrNull()
                    WindowReadiness.UNKNOWN -> skip(window).leftOrNull()
                }
            if (error != null) {
                log.warn("event=usage_report_failed window={} {}", window.id, error.describe())
                return error.left()
            }
            reportedUpTo = window
        }
        return Unit.right()
    }

    private suspend fun dueWindows(): Either<PlatformError, List<UsageWindow>> {
        val endedMs = clock.now().toEpochMilliseconds() - grace.inWholeMilliseconds - lengthMs
        val last = usageWindowOf(endedMs, lengthMs)
        val isDone = last == reportedUpTo
        val earliest = if (isDone) null else table.earliestWindow().getOrElse { return it.left() }
        val first = earliest?.let(::usageWindowNamed) ?: return emptyList<UsageWindow>().right()
        val due = ArrayDeque<UsageWindow>()
        var window = last
        while (window >= first && window != reportedUpTo && due.size < MAX_WINDOWS_BACK) {
            if (table.isReported(window).getOrElse { return it.left() }) break
            due.addFirst(window)
            window = UsageWindow(window.startMs - lengthMs)
        }
        return due.right()
    }

    private suspend fun report(window: UsageWindow): Either<PlatformError, Unit> =
        either {
            val frozen = frozenFigures(window).bind()
            val body = reportBody(frozen.figures)
            val epoch = ensureNotNull(epochToSend()) { notHeld() }
            val report = sent.getOrPut(window) { SentReport(frozen) }
            val late = PlatformError.Ambiguous("usage-report", "intake", "no answer within $deadline")
            val result =
                withTimeoutOrNull(deadline) {
                    // The process may be paused while the intake's connection opens, and the lease end meanwhile.
                    intake.report(UsageReport(window.id, epoch, own.value, body)) { epochToSend() == epoch }
                }
            (result ?: late.left()).bind()
            report.isConfirmed = true
            log.info("event=usage_reported window={} epoch={} lines={}", window.id, epoch, frozen.figures.size)
            table.markReported(window, epoch).bind()
        }

    /** Leaves [window] unreported: it may have been reported before the store lost that, with other figures. */
    private suspend fun skip(window: UsageWindow): Either<PlatformError, Unit> =
        either {
            val epoch = ensureNotNull(epochToSend()) { notHeld() }
            log.warn("event=usage_skipped window={} epoch={} reason=\"may be reported already\"", window.id, epoch)
            table.markReported(window, epoch).bind()
        }

    /** Stores again what this process knows of its last reports, which the store may have lost. */
    suspend fun storeAgain(): Either<PlatformError, Unit> =
        either {
            for ((window, report) in sent.toMap()) {
                table.freeze(window, report.frozen).bind()
                if (report.isConfirmed) table.markReported(window, report.frozen.epoch).bind()
            }
        }

    private suspend fun frozenFigures(window: UsageWindow): Either<PlatformError, FrozenWindow> =
        either {
            table.frozen(window).bind() ?: run {
                table.close(window).bind()
                val figures = table.sum(window).bind()
                val epoch = ensureNotNull(epochToSend()) { notHeld() }
                table.freeze(window, FrozenWindow(epoch, clock.now().toEpochMilliseconds(), figures)).bind()
            }
        }

    private fun notHeld() = PlatformError.Unavailable("usage-report", TABLE, "the lease is not held")
}

/** The figures as the intake gets them: organisation, then class, with late usage apart. */
internal fun reportBody(figures: List<UsageCount>): JsonObject =
    buildJsonObject {
        figures.groupBy { it.organisation?.value ?: "" }.forEach { (organisation, counts) ->
            put(organisation, buildJsonObject { counts.forEach { put(nameOf(it), amounts(it)) } })
        }
    }

private fun nameOf(count: UsageCount) = if (count.late) "${count.serviceClass} (late)" else count.serviceClass.value

private fun amounts(count: UsageCount) =
    buildJsonObject {
        put("requests", count.requests)
        put("prompt_tokens", count.promptTokens)
        put("completion_tokens", count.completionTokens)
    }
