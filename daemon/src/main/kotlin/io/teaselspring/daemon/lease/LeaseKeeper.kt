/*
 * Runs the lease state machine against the table: carries out its reads and writes, and answers before each send
 * whether this process may.
 */
package io.teaselspring.daemon.lease

import io.teaselspring.core.Incarnation
import io.teaselspring.core.lease.ClockReading
import io.teaselspring.core.lease.Lease
import io.teaselspring.core.lease.LeaseAction
import io.teaselspring.core.lease.LeaseEvent
import io.teaselspring.core.lease.LeaseRow
import io.teaselspring.core.lease.LeaseTimes
import io.teaselspring.daemon.config.TABLE
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableStore
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import org.slf4j.LoggerFactory
import java.util.UUID
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.lease")

private val json = Json { ignoreUnknownKeys = true }

/** What operators see of a lease. */
data class LeaseStatus(
    val name: String,
    val holder: Incarnation?,
    val epoch: Long,
    val isHeldLocally: Boolean,
)

/**
 * The lease [name], a row key such as `lease/usage`, for the process [own]. [storeNowMs] returns the store's time where
 * the store has a clock of its own, null while it is not known for certain; [storeGeneration] its generation, if it
 * names one.
 */
class LeaseKeeper(
    private val name: String,
    private val own: Incarnation,
    private val table: TableStore,
    private val clock: Clock,
    timeSource: TimeSource,
    private val times: LeaseTimes = LeaseTimes(),
    private val storeNowMs: () -> Long? = { null },
    storeGeneration: () -> Long? = { null },
) {
    private val lease = Lease(own, times, storeGeneration) { UUID.randomUUID().toString() }
    private val start = timeSource.markNow()

    /** The epoch under which this process may send now, or null. To be asked directly before each send. */
    fun epochToSend(): Long? = synchronized(lease) { lease.epochToSend(now()) }

    /** The lease as last seen. */
    fun status(): LeaseStatus =
        synchronized(lease) { LeaseStatus(name, lease.lastHolder, lease.lastEpoch, lease.epochToSend(now()) != null) }

    /** The store has been restored from an older copy. */
    fun storeRestored() = step(LeaseEvent.StoreRestored).filterIsInstance<LeaseAction.Ended>().forEach(::logEnd)

    private fun logEnd(action: LeaseAction.Ended) =
        log.info("event=lease_ended lease={} epoch={} reason=\"{}\"", name, action.epoch, action.reason)

    /** Takes and renews the lease until cancelled. */
    suspend fun run(interval: Duration = 250.milliseconds): Nothing {
        while (true) {
            perform(step(LeaseEvent.Tick))
            delay(interval)
        }
    }

    /** Gives the lease up; returns when another process may take it at once, or after trying. */
    suspend fun resign() {
        perform(step(LeaseEvent.Resign))
        delay(times.orderDeadlineMs.milliseconds)
        perform(step(LeaseEvent.Tick))
    }

    private fun step(event: LeaseEvent): List<LeaseAction> = synchronized(lease) { lease.step(event, now()) }

    private suspend fun perform(first: List<LeaseAction>) {
        val actions = ArrayDeque(first)
        while (actions.isNotEmpty()) {
            when (val action = actions.removeFirst()) {
                LeaseAction.Read -> actions += step(read())
                is LeaseAction.Write -> actions += step(writeOrUnclear(action))
                is LeaseAction.Acquired -> log.info("event=lease_began lease={} epoch={}", name, action.epoch)
                is LeaseAction.Ended -> logEnd(action)
            }
        }
    }

    private suspend fun read(): LeaseEvent =
        table.get(TABLE, name).fold({ LeaseEvent.ReadFailed }) { row ->
            try {
                LeaseEvent.Read(row?.let { json.decodeFromJsonElement<LeaseRow>(it.value) }, row?.version ?: 0)
            } catch (e: IllegalArgumentException) {
                log.error("event=lease_unreadable lease={} error=\"{}\"", name, e.message)
                LeaseEvent.ReadFailed
            }
        }

    /** Without an outcome the lease would wait for that of this write for ever. */
    private suspend fun writeOrUnclear(action: LeaseAction.Write): LeaseEvent =
        try {
            write(action)
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            log.error("event=lease_write_failed lease={} error=\"{}\"", name, e.toString(), e)
            LeaseEvent.WriteUnclear
        }

    private suspend fun write(action: LeaseAction.Write): LeaseEvent =
        table.put(TABLE, name, json.encodeToJsonElement(action.row), action.ifVersion).fold(
            { if (it is PlatformError.Unavailable) LeaseEvent.WriteFailed else LeaseEvent.WriteUnclear },
            { LeaseEvent.Written(it) },
        )

    private fun now() =
        ClockReading(start.elapsedNow().inWholeMilliseconds, clock.now().toEpochMilliseconds(), storeNowMs())
}
