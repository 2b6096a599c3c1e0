/*
 * Time of day that all entries agree on. The wall clocks of instances may jump by seconds, so the time is counted
 * on the store's steady clock from an origin that the first entry writes down once.
 */
package io.teaselspring.daemon.gateway

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

/** The shared time of day. [storeNowMs] is the store's clock, null while it has not been heard. */
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

    /** Reads the origin, or writes it if there is none; returns when it is known. */
    suspend fun establish(retry: Duration = 500.milliseconds) {
        while (originMs == null) {
            originMs = stored() ?: written()
            if (originMs == null) delay(retry)
        }
        log.info("event=clock_established origin_ms={}", originMs)
    }

    private suspend fun stored(): Long? =
        table.get(TABLE, ORIGIN_KEY).fold(
            { noted(it) },
            { row -> row?.value?.jsonPrimitive?.long },
        )

    private suspend fun written(): Long? {
        val store = storeNowMs() ?: return null
        val origin = system.now().toEpochMilliseconds() - store
        return table.put(TABLE, ORIGIN_KEY, JsonPrimitive(origin), ABSENT).fold({ noted(it) }, { origin })
    }

    private fun noted(error: PlatformError): Long? {
        log.info("event=clock_origin_unknown {}", error.describe())
        return null
    }
}
