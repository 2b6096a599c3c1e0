/*
 * The software versions of each upstream that may have begun a stream which can still be resumed. The entries record
 * them in one row for each upstream: a version before the first resumable stream begins there, and the time when its
 * last instance has left the registry. An entry that starts, or was cut off, finds there what it has not seen.
 */
package io.teaselspring.daemon.gateway

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.freshness.StoreGeneration
import io.teaselspring.core.registry.VersionHistory
import io.teaselspring.ports.ABSENT
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.describe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** The monotonic clock of this process, and the store's as far as it is known. */
internal class VersionClocks(
    val nowMs: () -> Long,
    val storeNowMs: () -> Long?,
)

/**
 * The versions as recorded in [table], which is null if the entries share nothing: then those that this entry has seen
 * count. [windowMsOf] is the time in which a stream of an upstream can be resumed. Writes of the entries are spread
 * over up to [spreadMs], so that most of them find the row as it should be.
 */
internal class SoftwareVersions(
    private val table: TableStore?,
    private val clocks: VersionClocks,
    private val generation: StoreGeneration,
    private val windowMsOf: (UpstreamName) -> Long,
    private val spreadMs: () -> Int,
) {
    private class Upstream {
        /** All that this entry has seen or read. */
        var history = VersionHistory()

        /** The row as last read, null if there is none. */
        var stored: StoredVersions? = null
        var serving = emptySet<String>()

        /** Since when versions that serve by the row have had no instance in the registry. */
        val missingSinceMs = HashMap<String, Long>()

        /** Since when a row has been missing, as far as it was asked for. */
        var withoutRowSinceMs: Long? = null
    }

    private val upstreams = HashMap<UpstreamName, Upstream>()
    private val changed = Channel<Unit>(Channel.CONFLATED)
    private var registryReadMs: Long? = null
    private val rowsRead = CompletableDeferred<Unit>()

    /** The store has come back from an older copy while this process runs. */
    private var isRestored = false

    init {
        generation.onRestored { isRestored = true }
    }

    /** Called when the versions that count may have changed. */
    var onChanged: () -> Unit = {}

    /** The registry was read, and exactly the versions [serving] have instances. */
    fun registryRead(serving: Map<UpstreamName, Set<String>>) {
        registryReadMs = clocks.nowMs()
        var isChanged = false
        for (name in upstreams.keys + serving.keys) {
            val upstream = upstreams.getOrPut(name) { Upstream() }
            val now = serving[name].orEmpty()
            isChanged = isChanged || now != upstream.serving
            upstream.serving = now
            upstream.missingSinceMs.keys.removeAll(now)
            if (table == null) upstream.history = upstream.history.observe(now, clocks.nowMs())
        }
        if (isChanged) onChanged()
        wakeIfUnstored()
    }

    /** All rows of the table; those that are missing or unreadable are stored again. */
    fun replaceAll(rows: Map<UpstreamName, StoredVersions?>) {
        apply(upstreams.keys.associateWith { null } + rows)
        rowsRead.complete(Unit)
    }

    /** Returns once the rows have been read. */
    suspend fun awaitRows() = rowsRead.await()

    /** Applies [changes] of rows; null for one that was deleted or is unreadable. */
    fun apply(changes: Map<UpstreamName, StoredVersions?>) {
        changes.forEach { (name, stored) -> adopt(name, stored) }
        if (changes.isEmpty()) return
        onChanged()
        wakeIfUnstored()
    }

    private fun adopt(
        name: UpstreamName,
        stored: StoredVersions?,
    ) {
        val upstream = upstreams.getOrPut(name) { Upstream() }
        if (stored != null && stored != upstream.stored) {
            log.info("event=versions_read upstream={} versions={}", name, stored.history.leftAtMs)
        }
        upstream.stored = stored
        if (stored == null) return
        upstream.withoutRowSinceMs = null
        upstream.history = upstream.history.updatedBy(stored.history)
    }

    /**
     * Whether a resumable stream may begin at [version] of [name], null if unknown: whoever resumes it will find the
     * version recorded. An entry that has not read the registry for [MAX_VIEW_AGE_MS] does not know whether the others
     * still count it. While there is no row at all, because it cannot be written, versions count after
     * [MAX_UNRECORDED_MS].
     */
    fun isRecorded(
        name: UpstreamName,
        version: String?,
    ): Boolean {
        val upstream = upstreams[name]
        return when {
            version == null -> false
            table == null -> true
            upstream == null || registryAgeMs() > MAX_VIEW_AGE_MS -> false
            else -> {
                val stored = upstream.stored
                if (stored == null) {
                    upstream.isWithoutRowFor(MAX_UNRECORDED_MS)
                } else {
                    stored.generation == generation.current && stored.history.serves(version)
                }
            }
        }
    }

    /** Whether there has been no row for [durationMs]: then a resumption finds none either, and is refused. */
    private fun Upstream.isWithoutRowFor(durationMs: Long): Boolean {
        val now = clocks.nowMs()
        return now - (withoutRowSinceMs ?: now.also { withoutRowSinceMs = it }) >= durationMs
    }

    private fun registryAgeMs() = registryReadMs?.let { clocks.nowMs() - it } ?: Long.MAX_VALUE

    /** Whether streams of [name] that can still be resumed may have begun at different versions, as far as is known. */
    fun areSeveral(name: UpstreamName): Boolean = knownTo(name).size > 1

    /** As above, of any upstream. */
    fun areSeveralAnywhere(): Boolean = upstreams.keys.any(::areSeveral)

    /** Whether any upstream has had several versions lately. */
    fun haveBeenSeveral(): Boolean = upstreams.values.any { it.history.leftAtMs.size > 1 }

    /** The versions of [name] that this entry knows to have served lately. */
    fun knownTo(name: UpstreamName): Set<String> =
        upstreams[name]?.let { recent(name, it.history) + it.serving }.orEmpty()

    /** The versions of [history], read of [name], that may have begun a stream which can be resumed. */
    fun recent(
        name: UpstreamName,
        history: VersionHistory,
    ): Set<String> {
        val now = (if (table == null) clocks.nowMs() else clocks.storeNowMs()) ?: return history.leftAtMs.keys
        return history.servedWithin(windowMsOf(name), now)
    }

    /** Reads what the store says now of the versions of [name]; null if nothing is known in its generation. */
    suspend fun read(name: UpstreamName): Either<PlatformError, VersionHistory?> =
        readRow(name).map { (stored, _) ->
            if (stored != null && stored != upstreams[name]?.stored) apply(mapOf(name to stored))
            stored?.takeIf { it.generation == generation.current }?.history
        }

    private suspend fun readRow(name: UpstreamName): Either<PlatformError, Pair<StoredVersions?, Long>> =
        checkNotNull(table).get(SHARED_TABLE, VERSIONS_KEY_PREFIX + name).flatMap { row ->
            (row?.let { decodeVersions(it.value.toString()) } to (row?.version ?: ABSENT)).right()
        }

    /** Keeps the rows in step with the registry, until cancelled. */
    suspend fun run(retryDelay: Duration = 300.milliseconds): Nothing {
        while (true) {
            changed.receive()
            delay(spreadMs().milliseconds)
            unstored().forEach { name ->
                store(name).onLeft {
                    log.warn("event=versions_not_stored upstream={} {}", name, it.describe())
                    delay(retryDelay)
                }
            }
            wakeIfUnstored()
        }
    }

    private fun wakeIfUnstored() {
        if (unstored().isNotEmpty()) changed.trySend(Unit)
    }

    /** The upstreams whose row differs from what a registry says that this entry has read lately. */
    private fun unstored(): List<UpstreamName> {
        if (table == null || registryAgeMs() > MAX_REGISTRY_AGE_MS) return emptyList()
        return upstreams.filter { (name, upstream) -> mustStore(name, upstream) }.keys.toList()
    }

    private fun mustStore(
        name: UpstreamName,
        upstream: Upstream,
    ): Boolean {
        val stored = upstream.stored ?: return upstream.serving.isNotEmpty()
        return stored.generation != generation.current ||
            stored.history.serving != upstream.servingByRegistry(stored.history) ||
            !stored.history.leftAtMs.keys
                .containsAll(recent(name, upstream.history))
    }

    /**
     * The versions that serve. One that does by [history] has left only if its instances stay away: another entry may
     * have read the registry later.
     */
    private fun Upstream.servingByRegistry(history: VersionHistory): Set<String> {
        val now = clocks.nowMs()
        val missing = history.serving - serving
        missingSinceMs.keys.retainAll(missing)
        return serving + missing.filter { now - missingSinceMs.getOrPut(it) { now } < MISSING_MS }
    }

    private suspend fun store(name: UpstreamName): Either<PlatformError, Unit> =
        readRow(name).flatMap { (stored, rowVersion) ->
            val upstream = upstreams.getValue(name)
            adopt(name, stored)
            val now = clocks.storeNowMs()
            if (now == null || !mustStore(name, upstream)) return Unit.right()
            // A restored store has lost what was written since its copy, and this entry may not know all of it.
            val isFirstSinceRestore = stored?.generation != generation.current && (stored != null || isRestored)
            val before = if (isFirstSinceRestore) upstream.history.withUnknown(now) else upstream.history
            val next = StoredVersions(before.observe(upstream.servingByRegistry(before), now), generation.current)
            val key = VERSIONS_KEY_PREFIX + name
            checkNotNull(table).put(SHARED_TABLE, key, encodeVersions(next), rowVersion).fold(
                // After a conflict the row that another entry has written is read again.
                { if (it is PlatformError.Conflict) Unit.right() else it.left() },
                {
                    log.info("event=versions_stored upstream={} versions={}", name, next.history.leftAtMs)
                    upstream.history = next.history
                    apply(mapOf(name to next)).right()
                },
            )
        }

    private companion object {
        /** Longer than a write takes while the store serves. */
        const val MAX_UNRECORDED_MS = 3_000L

        /** Longer than the time between two reads of the registry. */
        const val MISSING_MS = 4_000L

        /** A registry that was read earlier may no longer be what it was. */
        const val MAX_REGISTRY_AGE_MS = 3_000L
    }
}

/**
 * The time after a version has left in which streams that it began may be resumed, if the timeout of their routes is at
 * most [longestTimeoutMs]. An entry that is cut off begins such streams for [MAX_VIEW_AGE_MS] more, and the version may
 * be recorded as left too early by [MAX_LATENESS_MS], because the store may perform a write late.
 */
internal fun resumableWithinMs(longestTimeoutMs: Long?): Long =
    if (longestTimeoutMs == null) {
        UNKNOWN_WINDOW_MS
    } else {
        minOf(longestTimeoutMs * TRIES, MAX_RESUMABLE_MS) + MAX_VIEW_AGE_MS + MAX_LATENESS_MS
    }

/** A caller's attempts share its time limit, which may be longer than the timeout of the route. */
private const val TRIES = 2
private const val MAX_VIEW_AGE_MS = 15_000L
private const val MAX_LATENESS_MS = 7_000L

/** Streams are not resumed later than this; the rows keep versions for longer. */
private const val MAX_RESUMABLE_MS = 120_000L
private const val UNKNOWN_WINDOW_MS = 60_000L
