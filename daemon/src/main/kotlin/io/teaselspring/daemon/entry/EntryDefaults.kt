/*
 * Outcome store for entries without a configured one, generator of request ids, and summary for the state dump.
 */
package io.teaselspring.daemon.entry

import arrow.core.Either
import arrow.core.left
import io.teaselspring.core.RequestId
import io.teaselspring.core.choice.AgentView
import java.security.SecureRandom
import java.util.HexFormat

/** Figures of an entry for its state dump. */
data class EntrySummary(
    val running: Int,
    val inFlight: Int,
    val agents: List<AgentView>,
)

/** Refuses every claim, so that no request with an idempotency key runs without a store. */
object NoOutcomeStore : OutcomeStore {
    private val unavailable = StoreUnavailable("no store is configured")

    override suspend fun claim(
        key: OutcomeKey,
        requestId: RequestId,
    ): Either<StoreUnavailable, Claim> = unavailable.left()

    override suspend fun store(
        key: OutcomeKey,
        requestId: RequestId,
        response: StoredResponse,
    ): Either<StoreUnavailable, Unit> = unavailable.left()

    override suspend fun release(
        key: OutcomeKey,
        requestId: RequestId,
    ): Either<StoreUnavailable, Unit> = unavailable.left()
}

/** Generates random request ids. Agents record requests by id and rely on its uniqueness. */
internal class RequestIds {
    private val random = SecureRandom()

    fun next(): RequestId = RequestId("r-" + HexFormat.of().formatHex(ByteArray(ID_BYTES).also(random::nextBytes)))

    private companion object {
        const val ID_BYTES = 16
    }
}
