/*
 * Time of day shared by all entries. Wall clocks of instances may jump by seconds, so the time is the store's monotonic
 * clock plus an origin that the first entry stores once.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.teaselspring.daemon.config.TABLE
import io.teaselspring.ports.ABSENT
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.describe
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.slf4j.LoggerFactory
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** Key of the row that holds the Unix time of the store clock's zero, in milliseconds. */
private const val ORIGIN_KEY = "clock/origin"

/** The shared time of day. [storeNowMs] is the store's clock, null before its first response. */
internal class SharedClock(
    private val table: TableStore,
    private val storeNowMs: () -> Long?,
    private val system: Clock = Clock.System,
) : Clock {
    private var originMs: Long? = null

    override fun now(): Instant {
        val origin = originMs
        val store = storeNowMs()
        return if (origin == null || store == null) system.now() else Instant.fromEpochMilliseconds(origin + store)
    }

    /** Reads the origin, or creates it if there is none; retries until it is known. */
    suspend fun establishOrigin(retry: Duration = 500.milliseconds) {
        while (originMs == null) {
            originMs = readOrigin() ?: createOrigin()
            if (originMs == null) delay(retry)
        }
        log.info("event=clock_established origin_ms={}", originMs)
    }

    /** Stores the origin again if a restore of the store has lost it. */
    suspend fun storeAgain(): Either<PlatformError, Unit> {
        val origin = originMs ?: return Unit.right()
        return table.put(TABLE, ORIGIN_KEY, JsonPrimitive(origin), ABSENT).fold(
            { if (it is PlatformError.Conflict) Unit.right() else it.left() },
            { Unit.right() },
        )
    }

    private suspend fun readOrigin(): Long? =
        table.get(TABLE, ORIGIN_KEY).fold(
            { logUnknownOrigin(it) },
            { row -> row?.value?.jsonPrimitive?.long },
        )

    private suspend fun createOrigin(): Long? {
        val store = storeNowMs() ?: return null
        val origin = system.now().toEpochMilliseconds() - store
        return table.put(TABLE, ORIGIN_KEY, JsonPrimitive(origin), ABSENT).fold({ logUnknownOrigin(it) }, { origin })
    }

    private fun logUnknownOrigin(error: PlatformError): Long? {
        log.info("event=clock_origin_unknown {}", error.describe())
        return null
    }
}
