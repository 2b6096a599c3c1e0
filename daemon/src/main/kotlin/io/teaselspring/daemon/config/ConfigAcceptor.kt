/*
 * Accepts changes of the configuration on any entry. A change is validated against the head that it replaces and
 * written under the condition that this head is still the last one.
 */
package io.teaselspring.daemon.config

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.config.ConfigChange
import io.teaselspring.core.config.ConfigEdit
import io.teaselspring.core.config.ConfigProblem
import io.teaselspring.core.config.ConfigState
import io.teaselspring.core.config.problemsOf
import io.teaselspring.ports.Backoff
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.delayAfter
import io.teaselspring.ports.describe
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.slf4j.LoggerFactory
import java.util.UUID
import kotlin.random.Random
import kotlin.time.Clock

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.config")

/** Changes between two snapshots in the object store. */
private const val SNAPSHOT_INTERVAL = 50

/** Times that a change without a required version is tried again after another one came first. */
private const val MAX_REBASES = 8

/** Why a change was not accepted. */
sealed interface ChangeRefusal {
    /** The change is faulty. */
    data class Invalid(
        val problems: List<ConfigProblem>,
    ) : ChangeRefusal

    /** Based on [basedOn], while [current] is in force. */
    data class Conflict(
        val basedOn: Long,
        val current: Long,
    ) : ChangeRefusal

    /** There is no such entity, or it exists already. */
    data class NoSuch(
        val detail: String,
    ) : ChangeRefusal

    /** The store did not answer; after [PlatformError.Ambiguous] the change may still be accepted. */
    data class Store(
        val error: PlatformError,
    ) : ChangeRefusal
}

/** Makes the edits of a change from the state they apply to. */
typealias MakeEdits = (ConfigState) -> Either<ChangeRefusal, List<ConfigEdit>>

/** Writes changes to [table] and applies them to [holder]; [onAccepted] tells peers. */
class ConfigAcceptor(
    private val table: ConfigTable,
    private val sync: ConfigSync,
    private val holder: ConfigHolder,
    private val clock: Clock,
    private val random: Random,
    private val onAccepted: () -> Unit = {},
) {
    private val oneAtATime = Mutex()

    @Volatile
    private var storedSnapshot = 0L

    /**
     * Accepts the edits that [makeEdits] gives. With [basedOn], only if that is the version in force; else the edits
     * are made again from the newer state when another change comes first.
     */
    suspend fun accept(
        author: String,
        basedOn: Long?,
        makeEdits: MakeEdits,
    ): Either<ChangeRefusal, ConfigChange> =
        oneAtATime.withLock {
            val changeId = UUID.randomUUID().toString()
            repeat(MAX_REBASES) { attempt ->
                val result = tryOnce(changeId, author, basedOn, makeEdits)
                val refusal = result.leftOrNull()
                val overtaken = basedOn == null && refusal is ChangeRefusal.Conflict
                if (!overtaken) return@withLock result
                delay(Backoff().delayAfter(attempt, random))
            }
            tryOnce(changeId, author, basedOn, makeEdits)
        }

    private suspend fun tryOnce(
        changeId: String,
        author: String,
        basedOn: Long?,
        makeEdits: MakeEdits,
    ): Either<ChangeRefusal, ConfigChange> {
        val stored = sync.syncToHead().getOrElse { return ChangeRefusal.Store(it).left() }
        val state = holder.state
        val current = stored.head.version
        return when {
            // Without this, a store that was set back would accept a change under a version already used.
            state.version > current -> behind(current, state.version).left()
            basedOn != null && basedOn != current -> ChangeRefusal.Conflict(basedOn, current).left()
            else -> validEdits(state, makeEdits).flatMap { append(changeId, author, stored, it) }
        }
    }

    private fun validEdits(
        state: ConfigState,
        makeEdits: MakeEdits,
    ): Either<ChangeRefusal, List<ConfigEdit>> =
        makeEdits(state).flatMap { edits ->
            val problems = state.problemsOf(edits)
            if (problems.isEmpty()) edits.right() else ChangeRefusal.Invalid(problems).left()
        }

    private suspend fun append(
        changeId: String,
        author: String,
        stored: StoredHead,
        edits: List<ConfigEdit>,
    ): Either<ChangeRefusal, ConfigChange> {
        val version = stored.head.version + 1
        val change = ConfigChange(version, changeId, author, clock.now().toEpochMilliseconds(), edits)
        return table.append(change, stored, storedSnapshot).fold(
            { error ->
                log.warn("event=config_change_failed version={} {}", version, error.describe())
                if (error is PlatformError.Conflict) {
                    ChangeRefusal.Conflict(stored.head.version, headVersion() ?: version).left()
                } else {
                    ChangeRefusal.Store(error).left()
                }
            },
            {
                log.info("event=config_change_accepted version={} author={} edits={}", version, author, edits.size)
                holder.apply(listOf(change))
                onAccepted()
                storeSnapshot(stored.head)
                change.right()
            },
        )
    }

    private suspend fun headVersion(): Long? =
        sync
            .syncToHead()
            .getOrNull()
            ?.head
            ?.version

    private fun behind(
        current: Long,
        known: Long,
    ) = ChangeRefusal.Store(
        PlatformError.Unavailable("config-head", "store", "the head is at $current, behind known version $known"),
    )

    /** The head names the snapshot from the next change on, so that it costs no write of its own. */
    private suspend fun storeSnapshot(before: ConfigHead) {
        val state = holder.state
        if (state.version - maxOf(before.snapshotVersion, storedSnapshot) < SNAPSHOT_INTERVAL) return
        table.putSnapshot(state).fold(
            { log.warn("event=config_snapshot_failed version={} {}", state.version, it.describe()) },
            { storedSnapshot = state.version },
        )
    }
}
