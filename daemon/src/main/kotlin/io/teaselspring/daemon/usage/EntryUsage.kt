/*
 * An entry's copies of usage that agents have not stored, and their storage when an agent is lost.
 */
package io.teaselspring.daemon.usage

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.Incarnation
import io.teaselspring.core.usage.AgentUsageRow
import io.teaselspring.core.usage.EntryCopies
import io.teaselspring.core.usage.EntryUsageRow
import io.teaselspring.core.usage.StoredAgentRow
import io.teaselspring.core.usage.Takeover
import io.teaselspring.core.usage.UsageWindow
import io.teaselspring.core.usage.usageWindowOf
import io.teaselspring.core.usage.with
import io.teaselspring.daemon.MonotonicMs
import io.teaselspring.ports.ABSENT
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.describe
import io.teaselspring.ports.resolvingAmbiguousWrite
import io.teaselspring.protocol.UsageRecord
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.json.encodeToJsonElement
import org.slf4j.LoggerFactory
import java.util.UUID
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.usage")

/** An agent writes a row in each window, so its last one is found unless the store was away for longer than this. */
private const val MAX_WINDOWS_BACK = 48

/** Copies kept by the entry [own]. [lengthMs] is the length of a window. */
class EntryUsage(
    private val own: Incarnation,
    private val table: UsageTable,
    private val clock: Clock,
    private val nowMs: MonotonicMs,
    private val lengthMs: Long,
) : ReceivedUsage {
    private val copies = EntryCopies(own)
    private val oneAtATime = Mutex()

    override fun received(
        agent: Incarnation,
        record: UsageRecord,
    ) = synchronized(copies) { copies.add(agent, record.asItem()) }

    override fun flushed(
        agent: Incarnation,
        sequence: Long,
    ) = synchronized(copies) { copies.onFlushed(agent, sequence) }

    override fun agentLost(agent: Incarnation) = synchronized(copies) { copies.onLinkLost(agent, nowMs()) }

    /** Copies that no agent has stored yet, as far as known here. */
    fun openCount(): Int = synchronized(copies) { copies.copyCount }

    /** Takes over from lost agents, until cancelled. */
    suspend fun run(
        random: Random,
        interval: Duration = 10.seconds,
    ): Nothing {
        while (true) {
            delay(interval * random.nextDouble(0.9, 1.1))
            takeOverLostAgents()
        }
    }

    /** Stores the copies of all lost agents; what fails is tried again next time. */
    suspend fun takeOverLostAgents() =
        oneAtATime.withLock {
            synchronized(copies) { copies.lostAgents(nowMs()) }.forEach { agent ->
                takeOver(agent).onLeft { log.warn("event=usage_takeover_failed agent={} {}", agent, it.describe()) }
            }
        }

    private suspend fun takeOver(agent: Incarnation): Either<PlatformError, Unit> {
        val wallMs = clock.now().toEpochMilliseconds()
        val window = usageWindowOf(wallMs, lengthMs)
        val first = UsageWindow(window.startMs - MAX_WINDOWS_BACK * lengthMs)
        val found = table.latestAgentRow(agent, window, first, lengthMs).getOrElse { return it.left() }
        val row = found ?: StoredAgentRow(window, ABSENT, AgentUsageRow(""))
        val takeover = synchronized(copies) { copies.takeover(agent, row) } ?: return Unit.right()
        return store(takeover, window).onRight {
            synchronized(copies) { copies.onTakeoverStored(takeover) }
            log.info("event=usage_taken_over agent={} records={}", agent, takeover.items.size)
        }
    }

    private suspend fun store(
        takeover: Takeover,
        window: UsageWindow,
    ): Either<PlatformError, Unit> {
        val flushId = UUID.randomUUID().toString()
        val ownKey = entryKey(window, own)
        val before = table.read<EntryUsageRow>(ownKey).getOrElse { return it.left() }
        val entryRow = before?.first.with(takeover, window, lengthMs, flushId)
        val agentRow = synchronized(copies) { copies.agentRowCovering(takeover, flushId) }
        val target = takeover.agentRow
        val writes =
            listOf(
                write(
                    agentKey(target.window, takeover.agent),
                    target.rowVersion,
                    usageJson.encodeToJsonElement(agentRow),
                ),
                write(ownKey, before?.second ?: ABSENT, usageJson.encodeToJsonElement(entryRow)),
                requireAbsent(closedKey(window)),
            )
        return resolvingAmbiguousWrite(
            readBack = {
                table.read<EntryUsageRow>(ownKey).map { row ->
                    Unit.takeIf { row?.first?.flushId == flushId }
                }
            },
            write = { table.transaction(writes).flatMap { Unit.right() } },
        )
    }
}
