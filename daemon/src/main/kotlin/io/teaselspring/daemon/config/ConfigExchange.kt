/*
 * Exchange of configuration changes and withdrawals between processes. Each side tells what it knows by Versions; the
 * side that lags asks. What is sent on a message is returned, so that the exchange runs over any transport.
 */
package io.teaselspring.daemon.config

import io.teaselspring.core.InstanceId
import io.teaselspring.core.KeyId
import io.teaselspring.core.config.ApplyResult
import io.teaselspring.core.config.ConfigChange
import io.teaselspring.protocol.MAX_FRAME_BYTES
import io.teaselspring.protocol.Message
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.config")

/** Largest number of changes in one message. */
private const val MAX_CHANGES = 50

/** A message of changes stays below this size, in characters of JSON, unless one change alone is larger. */
private const val MAX_CHANGES_CHARS = 1_000_000

/** Beyond this many missing changes, a process that knows nothing gets a snapshot. */
private const val SNAPSHOT_FROM = 100

/** What to do after a message. */
data class ExchangeResult(
    val replies: List<Message> = emptyList(),
    val hasNewConfig: Boolean = false,
    val learnedWithdrawals: Set<KeyId> = emptySet(),
)

/**
 * The exchange of one process. While a response to a request is outstanding for less than [patience], other peers are
 * not asked for the same. All functions may be called from any thread.
 */
class ConfigExchange(
    private val holder: ConfigHolder,
    private val timeSource: TimeSource,
    private val patience: Duration = 1.seconds,
) {
    private val peerVersions = HashMap<InstanceId, Long>()
    private var asked: TimeMark? = null

    /** What this process knows. */
    fun versions(): Message.Versions =
        holder.summary().let { Message.Versions(it.version, it.withdrawalCount, it.withdrawalDigest) }

    /** Forgets what [peer] said; its link closed. */
    @Synchronized
    fun forget(peer: InstanceId) {
        peerVersions.remove(peer)
    }

    /** Handles [message] of [peer]; messages that do not concern the configuration are ignored. */
    @Synchronized
    fun onMessage(
        peer: InstanceId,
        message: Message,
    ): ExchangeResult {
        holder.noteContact()
        return when (message) {
            is Message.Versions -> ExchangeResult(onVersions(peer, message))
            is Message.ConfigRequest -> ExchangeResult(onRequest(message))
            is Message.ConfigChanges -> onChanges(peer, message)
            is Message.ConfigSnapshot -> onSnapshot(peer, message)
            is Message.KeysWithdrawn -> ExchangeResult(learnedWithdrawals = holder.withdraw(message.keyIds))
            else -> ExchangeResult()
        }
    }

    private fun onVersions(
        peer: InstanceId,
        said: Message.Versions,
    ): List<Message> {
        peerVersions[peer] = said.configVersion
        val own = versions()
        val differs = said.withdrawalDigest != own.withdrawalDigest
        val wantsWithdrawals = differs && said.withdrawalCount > 0
        return when {
            said.configVersion > own.configVersion || wantsWithdrawals -> ask(own.configVersion, wantsWithdrawals)
            said.configVersion < own.configVersion || (differs && own.withdrawalCount > 0) -> listOf(own)
            else -> emptyList()
        }
    }

    private fun ask(
        afterVersion: Long,
        withdrawals: Boolean,
    ): List<Message> {
        val waiting = asked?.let { it.elapsedNow() < patience } ?: false
        if (waiting) return emptyList()
        asked = timeSource.markNow()
        return listOf(Message.ConfigRequest(afterVersion, withdrawals))
    }

    private fun onRequest(request: Message.ConfigRequest): List<Message> =
        buildList {
            val pending = holder.pending()
            if (request.withdrawals && pending.isNotEmpty()) add(Message.KeysWithdrawn(pending.toList()))
            val changes = holder.changesAfter(request.afterVersion)
            when {
                changes == null -> snapshot()?.let { add(it) }
                request.afterVersion == 0L && changes.size >= SNAPSHOT_FROM -> snapshot()?.let { add(it) }
                changes.isNotEmpty() -> add(Message.ConfigChanges(firstPart(changes)))
            }
        }

    private fun snapshot(): Message? {
        val bytes = encodeSnapshot(holder.state)
        // Leaves room for the message around the state.
        if (bytes.size < MAX_FRAME_BYTES - 1024) return Message.ConfigSnapshot(bytes)
        log.error("event=config_snapshot_too_large bytes={}", bytes.size)
        return null
    }

    private fun firstPart(changes: List<ConfigChange>): List<ConfigChange> {
        var chars = 0
        val rest =
            changes.drop(1).take(MAX_CHANGES - 1).takeWhile { change ->
                chars += change.edits.sumOf { it.toString().length }
                chars < MAX_CHANGES_CHARS
            }
        return changes.take(1) + rest
    }

    private fun onChanges(
        peer: InstanceId,
        message: Message.ConfigChanges,
    ): ExchangeResult {
        asked = null
        val result = holder.apply(message.changes)
        return ExchangeResult(askForRest(peer), hasNewConfig = result == ApplyResult.APPLIED)
    }

    private fun onSnapshot(
        peer: InstanceId,
        message: Message.ConfigSnapshot,
    ): ExchangeResult {
        asked = null
        val state =
            try {
                decodeSnapshot(message.stateJson)
            } catch (e: SerializationException) {
                log.warn("event=config_snapshot_unreadable peer={} error=\"{}\"", peer, e.message)
                return ExchangeResult()
            }
        val installed = holder.install(state)
        return ExchangeResult(askForRest(peer), hasNewConfig = installed)
    }

    private fun askForRest(peer: InstanceId): List<Message> {
        val own = holder.summary().version
        return if ((peerVersions[peer] ?: 0) > own) ask(own, withdrawals = false) else emptyList()
    }
}
