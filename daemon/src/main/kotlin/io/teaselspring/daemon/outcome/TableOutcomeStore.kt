/*
 * Claims and outcomes as rows of the platform's table. A claim is a conditional write, so one request gets it; it is
 * removed only while it is unanswered and only by the request that holds it.
 */
package io.teaselspring.daemon.outcome

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.Incarnation
import io.teaselspring.core.RequestId
import io.teaselspring.core.outcome.ClaimLookup
import io.teaselspring.core.outcome.OutcomeResponse
import io.teaselspring.core.outcome.OutcomeRow
import io.teaselspring.core.outcome.lookupFor
import io.teaselspring.core.outcome.outcomeRowKey
import io.teaselspring.daemon.config.TABLE
import io.teaselspring.daemon.entry.Claim
import io.teaselspring.daemon.entry.OutcomeKey
import io.teaselspring.daemon.entry.OutcomeStore
import io.teaselspring.daemon.entry.StoreUnavailable
import io.teaselspring.daemon.entry.StoredResponse
import io.teaselspring.ports.ABSENT
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.Row
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.TableWrite
import io.teaselspring.ports.describe
import io.teaselspring.ports.resolvingAmbiguousWrite
import io.teaselspring.protocol.Header
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import java.util.Base64
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

/** Outcomes in [table]; [holder] is this entry. Each call ends within [limit]. */
class TableOutcomeStore(
    private val table: TableStore,
    private val holder: Incarnation,
    private val clock: Clock,
    private val limit: Duration = 5.seconds,
) : OutcomeStore {
    override suspend fun claim(
        key: OutcomeKey,
        requestId: RequestId,
    ): Either<StoreUnavailable, Claim> =
        bounded {
            val row = OutcomeRow(requestId, holder, key.fingerprint, clock.now().toEpochMilliseconds())
            val written =
                resolvingAmbiguousWrite(
                    readBack = { read(key).map { found -> found?.takeIf { it.isClaimOf(requestId) }?.rowVersion } },
                    write = { table.put(TABLE, key.row(), json.encodeToJsonElement(row), ABSENT) },
                )
            written.fold(
                { if (it is PlatformError.Conflict) earlier(key, requestId) else it.left() },
                { Claim.Taken.right() },
            )
        }

    override suspend fun store(
        key: OutcomeKey,
        requestId: RequestId,
        response: StoredResponse,
    ): Either<StoreUnavailable, Unit> =
        bounded {
            read(key).flatMap { claim ->
                if (claim == null || !claim.isClaimOf(requestId)) return@flatMap notHeld(requestId).left()
                val completed = claim.row.copy(response = response.stored())
                resolvingAmbiguousWrite(
                    readBack = { read(key).map { found -> found?.takeIf { it.row == completed }?.rowVersion } },
                    write = { table.put(TABLE, key.row(), json.encodeToJsonElement(completed), claim.rowVersion) },
                ).map { }
            }
        }

    override suspend fun release(
        key: OutcomeKey,
        requestId: RequestId,
    ): Either<StoreUnavailable, Unit> =
        bounded {
            read(key).flatMap { claim ->
                if (claim == null || !claim.isClaimOf(requestId)) return@flatMap notHeld(requestId).left()
                resolvingAmbiguousWrite(
                    readBack = { read(key).map { found -> if (found?.isClaimOf(requestId) == true) null else Unit } },
                    write = { table.transaction(listOf(TableWrite(TABLE, key.row(), claim.rowVersion, null))).map { } },
                )
            }
        }

    /** The row may have been released since the conflict; then its request has not run, but neither may this one. */
    private suspend fun earlier(
        key: OutcomeKey,
        requestId: RequestId,
    ): Either<PlatformError, Claim> =
        read(key).map { found ->
            when (val outcome = found?.row?.lookupFor(requestId, key.fingerprint)) {
                null, ClaimLookup.Unknown -> Claim.Unknown
                is ClaimLookup.Completed -> Claim.Completed(outcome.response.given())
                ClaimLookup.OtherRequest -> Claim.OtherRequest
                ClaimLookup.OwnClaim -> Claim.Taken
            }
        }

    private class Found(
        val row: OutcomeRow,
        val rowVersion: Long,
    ) {
        fun isClaimOf(requestId: RequestId) = row.requestId == requestId && row.response == null
    }

    private suspend fun read(key: OutcomeKey): Either<PlatformError, Found?> =
        table.get(TABLE, key.row()).flatMap { row -> if (row == null) null.right() else decode(row) }

    private fun decode(row: Row): Either<PlatformError, Found> =
        Either
            .catch { Found(json.decodeFromJsonElement(row.value), row.version) }
            .mapLeft { PlatformError.Unavailable("outcome-decode", "store", it.message.orEmpty()) }

    private fun notHeld(requestId: RequestId) =
        PlatformError.Conflict("outcome", "store", "request $requestId does not hold the claim")

    private suspend fun <T> bounded(call: suspend () -> Either<PlatformError, T>): Either<StoreUnavailable, T> =
        withTimeoutOrNull(limit) { call().mapLeft { StoreUnavailable(it.describe()) } }
            ?: StoreUnavailable("no answer within $limit").left()

    private fun OutcomeKey.row() = outcomeRowKey(organisation, idempotencyKey)
}

private fun StoredResponse.stored() =
    OutcomeResponse(status, headers.map { listOf(it.name, it.value) }, Base64.getEncoder().encodeToString(body))

private fun OutcomeResponse.given() =
    StoredResponse(status, headers.map { Header(it[0], it[1]) }, Base64.getDecoder().decode(bodyBase64))
