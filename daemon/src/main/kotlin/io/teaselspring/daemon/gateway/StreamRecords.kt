/*
 * Which software version began each resumable stream. An entry remembers the streams that it has forwarded. While an
 * upstream has several versions, it also records them in the store, in batches soon after their first events, for the
 * entry that a caller resumes a stream at when this one is gone.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.decode.decodeOrNull
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.TableWrite
import io.teaselspring.ports.describe
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.decodeFromJsonElement
import kotlinx.serialization.json.encodeToJsonElement
import org.slf4j.LoggerFactory
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** Table of the records. */
internal const val STREAMS_TABLE = "teaselspring-streams"

/**
 * Key of the stream that the request [requestId] of [organisation] began at [upstream]. Callers choose their ids: a
 * hash bounds its size, and that of another organisation's stream differs.
 */
internal fun streamKey(
    organisation: OrganisationId?,
    upstream: UpstreamName,
    requestId: String,
): String {
    val text = listOf(organisation?.value.orEmpty(), upstream.value, requestId).joinToString("\n")
    val digest = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
    return HexFormat.of().formatHex(digest, 0, KEY_BYTES)
}

private const val KEY_BYTES = 16

/** A stream that [version] has begun and that can be resumed until [untilMs] of the store's clock. */
@Serializable
internal data class BegunStream(
    val version: String,
    @SerialName("until_ms") val untilMs: Long,
)

private val recordJson = Json { ignoreUnknownKeys = true }

/**
 * The streams begun at this entry, by [streamKey], recorded in [table] where [areVersionsSeveral]. [interval] is the
 * time between two writes, which grows with the number of entries.
 */
internal class StreamRecords(
    private val table: TableStore?,
    private val storeNowMs: () -> Long?,
    private val areVersionsSeveral: (UpstreamName) -> Boolean,
    val interval: () -> Duration,
) {
    private class Known(
        val upstream: UpstreamName,
        val stream: BegunStream,
    ) {
        var isStored = false
    }

    private val known = LinkedHashMap<String, Known>()

    /** Streams that other processes had recorded when this one started. */
    private val loaded = LinkedHashMap<String, BegunStream>()
    private val unstored = LinkedHashSet<String>()
    private val expired = LinkedHashSet<String>()
    private val changed = Channel<Unit>(Channel.CONFLATED)
    private val urgent = Channel<Unit>(Channel.CONFLATED)
    private var writtenAtMs: Long? = null
    private var removedAtMs = 0L

    /** Number of streams that this entry remembers. */
    val size: Int get() = known.size + loaded.size

    /** The stream [key] of [upstream] has had its first event from [version]; it can be resumed for [remainingMs]. */
    fun began(
        key: String,
        upstream: UpstreamName,
        version: String,
        remainingMs: Long,
    ) {
        if (key in known) return
        val now = storeNowMs() ?: return
        known[key] = Known(upstream, BegunStream(version, now + remainingMs.coerceIn(0, MAX_RESUMABLE_MS)))
        if (known.size > MAX_STREAMS) known.keys.first().let { forget(it) }
        if (areVersionsSeveral(upstream)) enqueue(key)
    }

    /** The caller has lost the stream [key], or is about to, and may resume it at once. */
    fun interrupted(key: String) {
        if (key in unstored) urgent.trySend(Unit)
    }

    /** The version that began the stream [key], if this entry has seen that or has loaded its record. */
    fun versionOf(key: String): String? = (known[key]?.stream ?: loaded[key])?.version

    /** The versions of some upstreams have changed: all streams of those that have several now are to be recorded. */
    fun versionsChanged() {
        known.values
            .map { it.upstream }
            .distinct()
            .filter(areVersionsSeveral)
            .forEach { upstream ->
                known.filterValues { it.upstream == upstream && !it.isStored }.keys.forEach(::enqueue)
            }
    }

    /** The store may have lost records. */
    fun storeRestored() {
        known.values.forEach { it.isStored = false }
        versionsChanged()
    }

    private fun enqueue(key: String) {
        if (table == null) return
        unstored += key
        changed.trySend(Unit)
    }

    private fun forget(key: String) {
        val dropped = known.remove(key) ?: return
        unstored -= key
        if (dropped.isStored) expired += key
    }

    /** Forgets the streams that can no longer be resumed; their records are removed later. */
    fun expire() {
        val now = storeNowMs() ?: return
        loaded.values.removeIf { it.isOrphaned(now) }
        known.filterValues { it.stream.untilMs < now }.keys.forEach(::forget)
        if (expired.size >= MAX_WRITES || (expired.isNotEmpty() && now - removedAtMs > REMOVAL_INTERVAL_MS)) {
            changed.trySend(Unit)
        }
    }

    /** Reads the record of the stream [key]; null if there is none. */
    suspend fun read(key: String): Either<PlatformError, BegunStream?> =
        checkNotNull(table).get(STREAMS_TABLE, key).flatMap { row ->
            row?.let { decodeOrNull { recordJson.decodeFromJsonElement<BegunStream>(it.value) } }.right()
        }

    /** Loads the records of other processes, about [MAX_STREAMS] at most; returns the number of their streams. */
    suspend fun load(): Either<PlatformError, Int> {
        var after: String? = null
        do {
            val page =
                checkNotNull(table).scan(STREAMS_TABLE, "", after, LOADED_PAGE).fold({ return it.left() }, { it })
            val now = storeNowMs() ?: 0
            page.rows.forEach { row ->
                val stream = decodeOrNull { recordJson.decodeFromJsonElement<BegunStream>(row.value) }
                if (stream != null && !stream.isOrphaned(now)) loaded[row.key] = stream
            }
            after = page.rows.lastOrNull()?.key
        } while (page.more && after != null && loaded.size < MAX_STREAMS)
        return loaded.size.right()
    }

    /** Stores and removes records until cancelled. */
    suspend fun run(maxRetryDelay: Duration = 2.seconds): Nothing {
        while (true) {
            changed.receive()
            // Streams that began at the same time share a write, also the first one after a while.
            var pause = maxOf(interval() - sinceLastWrite(), MIN_DELAY)
            do {
                awaitNextWrite(pause)
                while (!storeBatch()) {
                    pause = minOf(interval() + pause * 2, maxRetryDelay)
                    delay(pause)
                }
                pause = interval()
            } while (unstored.isNotEmpty() || expired.size >= MAX_WRITES)
        }
    }

    /** Waits for [pause], or less while callers lose streams that are not stored. */
    private suspend fun awaitNextWrite(pause: Duration) {
        withTimeoutOrNull(pause) {
            urgent.receive()
            delay(interval() / MAX_URGENT_WRITES - sinceLastWrite())
        }
    }

    private fun sinceLastWrite(): Duration {
        val written = writtenAtMs ?: return Duration.INFINITE
        return ((storeNowMs() ?: written) - written).milliseconds
    }

    private suspend fun storeBatch(): Boolean {
        val keys = unstored.take(MAX_WRITES)
        val removed = expired.take(MAX_WRITES - keys.size)
        if (keys.isEmpty() && removed.isEmpty()) return true
        writtenAtMs = storeNowMs()
        val writes =
            keys.map { key ->
                val value = recordJson.encodeToJsonElement(known.getValue(key).stream)
                TableWrite(STREAMS_TABLE, key, ifVersion = null, value)
            } + removed.map { TableWrite(STREAMS_TABLE, it, ifVersion = null, value = null) }
        return checkNotNull(table).transaction(writes).fold(
            {
                log.warn("event=stream_records_not_stored streams={} {}", keys.size, it.describe())
                false
            },
            {
                keys.forEach { key -> known[key]?.isStored = true }
                unstored -= keys.toSet()
                expired -= removed.toSet()
                if (removed.isNotEmpty()) removedAtMs = storeNowMs() ?: removedAtMs
                log.debug("event=stream_records_stored streams={} removed={}", keys.size, removed.size)
                true
            },
        )
    }

    /**
     * Removes the records of streams that can no longer be resumed and whose entries are gone, every [interval] in
     * which [isResponsible] is true, until cancelled.
     */
    suspend fun removeOrphans(
        isResponsible: () -> Boolean,
        interval: Duration = 60.seconds,
    ): Nothing {
        while (true) {
            delay(interval)
            if (isResponsible()) removeOrphans()
        }
    }

    private suspend fun removeOrphans() {
        var after: String? = null
        do {
            val page = checkNotNull(table).scan(STREAMS_TABLE, "", after, MAX_WRITES).getOrNull() ?: return
            val now = storeNowMs() ?: return
            val orphans =
                page.rows.filter { row ->
                    val stream = decodeOrNull { recordJson.decodeFromJsonElement<BegunStream>(row.value) }
                    stream == null || stream.isOrphaned(now)
                }
            val writes = orphans.map { TableWrite(STREAMS_TABLE, it.key, ifVersion = null, value = null) }
            if (writes.isNotEmpty()) table.transaction(writes)
            after = page.rows.lastOrNull()?.key
        } while (page.more && after != null)
    }

    private fun BegunStream.isOrphaned(storeNowMs: Long) = untilMs + ORPHANED_MS < storeNowMs

    private companion object {
        /** Entries of one transaction. */
        const val MAX_WRITES = 100

        /** Rows of one read. */
        const val LOADED_PAGE = 500

        /** Writes of an entry in one interval while callers lose their streams. */
        const val MAX_URGENT_WRITES = 4

        /** Bounds the memory; the oldest streams are forgotten first. */
        const val MAX_STREAMS = 20_000

        /** Callers that state no time limit are taken to wait so long at most. */
        const val MAX_RESUMABLE_MS = 60_000L
        const val REMOVAL_INTERVAL_MS = 10_000L
        val MIN_DELAY = 10.milliseconds

        /** By then the entry that stored a record would have removed it. */
        const val ORPHANED_MS = 60_000L
    }
}

/**
 * Time between two writes of an entry, so that all [entries] together write at most 60 times a second, or 240 times
 * while callers lose their streams.
 */
internal fun recordInterval(entries: Int): Duration =
    maxOf(MIN_RECORD_INTERVAL, (entries * MS_PER_S / MAX_RECORD_WRITES_PER_S).milliseconds)

private val MIN_RECORD_INTERVAL = 100.milliseconds
private const val MS_PER_S = 1_000
private const val MAX_RECORD_WRITES_PER_S = 60
