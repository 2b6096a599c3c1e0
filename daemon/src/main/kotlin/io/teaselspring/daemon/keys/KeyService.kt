/*
 * Creation and withdrawal of keys. A withdrawal counts from the moment it is requested: it is applied here and sent
 * to peers and agents before it is stored, and whoever knows it retries until the change log has it.
 */
package io.teaselspring.daemon.keys

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.config.ApiKey
import io.teaselspring.core.config.ConfigChange
import io.teaselspring.core.config.ConfigEdit
import io.teaselspring.core.config.ConfigState
import io.teaselspring.core.keys.SECRET_PREFIX
import io.teaselspring.core.keys.sha256Hex
import io.teaselspring.daemon.config.ChangeRefusal
import io.teaselspring.daemon.config.ConfigAcceptor
import io.teaselspring.daemon.config.ConfigHolder
import io.teaselspring.daemon.config.ConfigSync
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.security.SecureRandom
import java.util.Base64
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.keys")
private const val SECRET_BYTES = 32
private const val ID_BYTES = 8

/** A key as it is shown once, with its secret. */
data class CreatedKey(
    val id: KeyId,
    val secret: String,
    val version: Long,
)

/** What came of a withdrawal: it is in effect, and [storedVersion] is null until the store has it. */
data class Withdrawal(
    val id: KeyId,
    val storedVersion: Long?,
)

/** Keys of organisations. Peers and agents learn of withdrawals from the holder's flow of withdrawals. */
class KeyService(
    private val acceptor: ConfigAcceptor,
    private val sync: ConfigSync,
    private val holder: ConfigHolder,
    private val clock: Clock,
    private val secureRandom: SecureRandom = SecureRandom(),
) {
    /** Creates a key for [organisation]. The secret is not kept anywhere. */
    suspend fun create(
        author: String,
        organisation: OrganisationId,
    ): Either<ChangeRefusal, CreatedKey> {
        val secret = SECRET_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(randomBytes(SECRET_BYTES))
        val id = KeyId("k-" + randomBytes(ID_BYTES).joinToString("") { "%02x".format(it) })
        val key = ApiKey(organisation, sha256Hex(secret), clock.now().toEpochMilliseconds())
        return acceptor
            .accept(author, basedOn = null) { listOf(ConfigEdit.PutKey(id, key)).right() }
            .map { CreatedKey(id, secret, it.version) }
    }

    /** Withdraws [id]: at once here, then on peers and agents, then in the store. */
    suspend fun withdraw(
        author: String,
        id: KeyId,
    ): Either<ChangeRefusal, Withdrawal> {
        if (id !in holder.state.keys) sync.syncToHead()
        val known = holder.state.keys[id] ?: return ChangeRefusal.NoSuch("there is no key $id").left()
        if (known.withdrawnAtMs != null) return Withdrawal(id, holder.state.version).right()
        holder.withdraw(setOf(id))
        log.info("event=key_withdrawn key={} author={}", id, author)
        return Withdrawal(id, store(author, setOf(id)).getOrNull()?.version).right()
    }

    /** Brings pending withdrawals into the change log, until cancelled. */
    suspend fun run(
        random: Random,
        interval: Duration = 5.seconds,
    ): Nothing {
        while (true) {
            // Spread, so that of all processes that know a withdrawal one writes it and the others see it stored.
            delay(interval * random.nextDouble(0.1, 2.0))
            if (holder.pending().isEmpty()) continue
            sync.syncToHead()
            val pending = holder.pending()
            if (pending.isNotEmpty()) store("withdrawal", pending)
        }
    }

    private suspend fun store(
        author: String,
        ids: Set<KeyId>,
    ): Either<ChangeRefusal, ConfigChange> = acceptor.accept(author, basedOn = null) { state -> edits(state, ids) }

    private fun edits(
        state: ConfigState,
        ids: Set<KeyId>,
    ): Either<ChangeRefusal, List<ConfigEdit>> {
        val nowMs = clock.now().toEpochMilliseconds()
        val edits =
            ids.mapNotNull { id ->
                val key = state.keys[id]?.takeIf { it.withdrawnAtMs == null }
                key?.let { ConfigEdit.PutKey(id, it.copy(withdrawnAtMs = nowMs)) }
            }
        return if (edits.isEmpty()) ChangeRefusal.NoSuch("already stored").left() else edits.right()
    }

    private fun randomBytes(count: Int) = ByteArray(count).also(secureRandom::nextBytes)
}
