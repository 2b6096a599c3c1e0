/*
 * Keeps this process level with the change log in the store: polls the head, fetches what is missing, starts from a
 * snapshot when it knows nothing.
 */
package io.teaselspring.daemon.config

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.config.ApplyResult
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.describe
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.config")

/** Reads the log of [table] into [holder]. */
class ConfigSync(
    private val table: ConfigTable,
    private val holder: ConfigHolder,
) {
    /** Level with the store's head, which is returned; an error if the store cannot be read. */
    suspend fun syncToHead(): Either<PlatformError, StoredHead> =
        table.head().flatMap { stored ->
            holder.noteContact()
            fetch(stored.head).map { stored }
        }

    private suspend fun fetch(head: ConfigHead): Either<PlatformError, Unit> {
        val known = holder.state.version
        if (head.version <= known) {
            if (head.version < known) log.warn("event=config_head_behind head={} version={}", head.version, known)
            return Unit.right()
        }
        if (head.snapshotVersion > known) installSnapshot(head.snapshotVersion)
        val changes = table.changesAfter(holder.state.version).getOrElse { return it.left() }
        val gap = holder.apply(changes) == ApplyResult.GAP
        return if (gap || holder.state.version < head.version) {
            PlatformError.Unavailable("config-fetch", "store", "changes up to ${head.version} are incomplete").left()
        } else {
            Unit.right()
        }
    }

    /** A snapshot only saves reading changes: without one, all changes are read. */
    private suspend fun installSnapshot(version: Long) {
        table.snapshot(version).fold(
            { log.warn("event=config_snapshot_unreadable version={} {}", version, it.describe()) },
            { if (it != null) holder.install(it) },
        )
    }

    /** Polls the head every [interval], with a jitter of a fifth, until cancelled. */
    suspend fun run(
        random: Random,
        interval: Duration = 5.seconds,
    ): Nothing {
        var failing = false
        while (true) {
            val error = syncToHead().leftOrNull()
            if (error != null && !failing) log.warn("event=config_poll_failed {}", error.describe())
            if (error == null && failing) log.info("event=config_poll_recovered version={}", holder.state.version)
            failing = error != null
            delay(interval * random.nextDouble(0.8, 1.2))
        }
    }
}
