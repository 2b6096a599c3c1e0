/*
 * Fake tables as one entry reaches them: each response shows the store's clock and generation, as the store's own do.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.TableWrite
import io.teaselspring.ports.WatchedTable
import kotlinx.serialization.json.JsonElement
import kotlin.time.Duration

private const val NANOS_PER_MS = 1_000_000L

/** The table of [platform] as one entry reaches it, which notes the store's clock and generation after each call. */
internal class ObservedTable(
    private val platform: FakePlatform,
    private val onResponse: (sentMs: Long) -> Unit,
) : TableStore {
    private val table = platform.platform.table

    override suspend fun get(
        table: String,
        key: String,
    ) = observed { it.get(table, key) }

    override suspend fun put(
        table: String,
        key: String,
        value: JsonElement,
        ifVersion: Long,
    ) = observed { it.put(table, key, value, ifVersion) }

    override suspend fun scan(
        table: String,
        prefix: String,
        after: String?,
        limit: Int,
    ) = observed { it.scan(table, prefix, after, limit) }

    override suspend fun transaction(writes: List<TableWrite>) = observed { it.transaction(writes) }

    private suspend fun <T> observed(call: suspend (TableStore) -> Either<PlatformError, T>): Either<PlatformError, T> {
        val sentMs = System.nanoTime() / NANOS_PER_MS
        return call(table).also { if (!platform.outage) onResponse(sentMs) }
    }
}

/** [table] as one entry reaches it, which notes the store's clock and generation after each call. */
internal class ObservedWatchedTable<T>(
    private val table: WatchedTable<T>,
    private val onResponse: (sentMs: Long) -> Unit,
) : WatchedTable<T> {
    override suspend fun read() = observed { table.read() }

    override suspend fun changes(
        after: Long,
        wait: Duration,
    ) = observed { table.changes(after, wait) }

    private suspend fun <R> observed(call: suspend () -> Either<PlatformError, R>): Either<PlatformError, R> {
        val sentMs = System.nanoTime() / NANOS_PER_MS
        return call().onRight { onResponse(sentMs) }
    }
}
