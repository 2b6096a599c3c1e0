/*
 * The usage recorder of an agent: keeps records in the ledger and flushes them to the table.
 */
package io.teaselspring.daemon.usage

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.teaselspring.core.Incarnation
import io.teaselspring.core.usage.AgentLedger
import io.teaselspring.core.usage.AgentUsageRow
import io.teaselspring.core.usage.FlushPlan
import io.teaselspring.core.usage.StoredAgentRow
import io.teaselspring.core.usage.UsageItem
import io.teaselspring.core.usage.usageWindowOf
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.describe
import io.teaselspring.protocol.UsageRecord
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.slf4j.LoggerFactory
import java.util.UUID
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.usage")

/** Flushes in a row that end in a conflict before the next interval is awaited. */
private const val MAX_ROUNDS = 8

internal fun UsageRecord.asItem() =
    UsageItem(sequence, organisation, serviceClass, promptTokens, completionTokens, finishedAtMs)

/** Usage of the agent [own]. [lengthMs] is the length of a window. */
class AgentUsage(
    private val own: Incarnation,
    private val table: UsageTable,
    private val clock: Clock,
    private val lengthMs: Long,
) : UsageRecorder {
    private val startMs = clock.now().toEpochMilliseconds()
    private val ledger = AgentLedger(lengthMs, startMs) { UUID.randomUUID().toString() }
    private val oneAtATime = Mutex()

    override fun record(
        entry: Incarnation,
        record: UsageRecord,
    ) = synchronized(ledger) { ledger.record(entry, record.asItem()) }

    override fun flushedSequence(entry: Incarnation): Long = synchronized(ledger) { ledger.storedSequence(entry) }

    /** Records that are not stored yet. */
    fun openCount(): Int = synchronized(ledger) { ledger.unstoredCount }

    /** Flushes every [interval], with a jitter, until cancelled. */
    suspend fun run(
        random: Random,
        interval: Duration = 10.seconds,
    ): Nothing {
        var failing = false
        while (true) {
            val error = flush().leftOrNull()
            if (error != null && !failing) log.warn("event=usage_flush_failed {}", error.describe())
            failing = error != null
            delay(interval * random.nextDouble(0.9, 1.1))
        }
    }

    /** Stores all records that are not stored yet. */
    suspend fun flush(): Either<PlatformError, Unit> =
        oneAtATime.withLock {
            repeat(MAX_ROUNDS) {
                val plan = synchronized(ledger) { ledger.plan(nowMs()) } ?: return@withLock Either.Right(Unit)
                flushOnce(plan).onLeft { return@withLock Either.Left(it) }
            }
            Either.Right(Unit)
        }

    private suspend fun flushOnce(plan: FlushPlan): Either<PlatformError, Unit> =
        table.flush(own, plan).fold(
            { if (it is PlatformError.Unavailable) it.left() else settle(plan) },
            { written(plan, it).right() },
        )

    private fun written(
        plan: FlushPlan,
        version: Long,
    ) = synchronized(ledger) { ledger.onFlushed(plan, version) }

    /** After a conflict or a lost response: reads what is stored and whether the window is closed. */
    private suspend fun settle(plan: FlushPlan): Either<PlatformError, Unit> =
        either {
            val found = table.read<AgentUsageRow>(agentKey(plan.window, own)).bind()
            if (found != null && found.first.flushId == plan.current.flushId) {
                written(plan, found.second)
            } else {
                val isClosed = table.isClosed(plan.window).bind()
                val latest = latest().bind()
                synchronized(ledger) {
                    if (isClosed) ledger.onWindowClosed(plan.window)
                    ledger.onRowRead(latest)
                }
            }
        }

    private suspend fun latest(): Either<PlatformError, StoredAgentRow?> {
        val known = synchronized(ledger) { ledger.storedRow }
        val now = usageWindowOf(nowMs(), lengthMs)
        val first = known?.window ?: usageWindowOf(startMs - lengthMs, lengthMs)
        return table.latestAgentRow(own, maxOf(now, first), first, lengthMs)
    }

    private fun nowMs() = clock.now().toEpochMilliseconds()
}
