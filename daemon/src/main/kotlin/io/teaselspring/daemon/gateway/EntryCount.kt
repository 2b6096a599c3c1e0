/*
 * The number of entries that share the upstreams. The holder of the usage lease counts the entries whose rows it sums
 * up and stores the number; limits for all entries together, such as the retry minimum, are divided by it.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import io.teaselspring.daemon.config.TABLE
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.Row
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.TableWrite
import io.teaselspring.ports.describe
import kotlinx.coroutines.delay
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** The number of entries as stored in [table], [assumed] until it is known. */
internal class EntryCount(
    private val table: TableStore,
    assumed: Int,
) {
    /** Number of entries that serve requests; at least 1. */
    var value: Int = assumed
        private set
    private var stored: Int? = null
    private var lastCounted = 0

    /** Reads the number every [interval], until cancelled. */
    suspend fun run(interval: Duration = 15.seconds): Nothing {
        while (true) {
            read()
            delay(interval)
        }
    }

    suspend fun read() {
        table
            .get(TABLE, KEY)
            .flatMap { row -> Either.catch { row?.count() }.mapLeft { unreadableRow(it) } }
            .fold({ log.info("event=entry_count_unknown {}", it.describe()) }) { it?.let(::update) }
    }

    /**
     * Stores the number of [entries] in a window, or that of the previous window if it was larger: an entry that is cut
     * off for one window keeps its share.
     */
    suspend fun store(entries: Int) {
        val count = maxOf(1, entries, lastCounted)
        lastCounted = entries
        if (count == stored) return
        val row = TableWrite(TABLE, KEY, ifVersion = null, buildJsonObject { put(COUNT, count) })
        table.transaction(listOf(row)).getOrElse {
            log.warn("event=entry_count_not_stored count={} {}", count, it.describe())
            return
        }
        update(count)
    }

    private fun update(count: Int) {
        if (count != stored) log.info("event=entry_count_changed count={} before={}", count, stored)
        stored = count
        value = count
    }

    private fun Row.count() =
        value.jsonObject
            .getValue(COUNT)
            .jsonPrimitive.int
            .coerceAtLeast(1)

    private fun unreadableRow(error: Throwable) =
        PlatformError.Unavailable("entry-count", KEY, error.message ?: "unreadable")

    private companion object {
        const val KEY = "entries/count"
        const val COUNT = "count"
    }
}
