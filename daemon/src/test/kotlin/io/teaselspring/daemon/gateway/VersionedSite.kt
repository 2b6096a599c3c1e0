/*
 * Test fixtures for upstreams of several software versions: instances whose events name their version, and entries that
 * share a store which outlives them.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.daemon.eventually
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

internal const val LAST_EVENT = 4
internal val REGISTRY_INTERVAL = 100.milliseconds

/** An instance whose events name its [version]; while [breaks], or if [breaksNow], its streams end after one event. */
internal class VersionedUpstream(
    val version: String,
    breaks: Boolean = false,
    breaksNow: () -> Boolean = { false },
) {
    val breaks = AtomicBoolean(breaks)
    val upstream =
        ScriptedUpstream { request, output ->
            output.streamHead(request)
            val after = request.header("Last-Event-Id")?.toInt() ?: 0
            val isBreaking = this.breaks.get() || breaksNow()
            for (id in after + 1..if (isBreaking) after + 1 else LAST_EVENT) output.chunk("id: $id\ndata: $version\n\n")
            if (!isBreaking) output.lastChunk()
            if (isBreaking) ConnectionAction.RESET else ConnectionAction.KEEP
        }

    /** The ids of the resumptions that reached the instance. */
    val resumptions: List<String?>
        get() =
            upstream.requests.value
                .filter { it.header("Last-Event-Id") != null }
                .map { it.header("X-Request-Id") }
}

internal fun GatewaySite.add(
    id: String,
    instance: VersionedUpstream,
    isDraining: Boolean = false,
) = add(id, instance.upstream, version = instance.version, isDraining = isDraining)

/** Entries with one store, which outlives them. */
internal class SharedStore : AutoCloseable {
    private val platform = FakePlatform()
    private val startedMs = System.nanoTime() / 1_000_000
    private val entries = CopyOnWriteArrayList<GatewaySite>()

    /** The shared table as each entry follows it. */
    private val sharedRows = LinkedHashMap<GatewaySite, FakeWatchedTable<SharedRow>>()

    init {
        platform.onApplied = { write ->
            val row = if (write.table == SHARED_TABLE) decodeSharedRow(write.key, "${write.value}") else null
            if (row != null) sharedRows.values.forEach { it.set(write.key, row) }
        }
    }

    /** The store does not serve the calls of any entry. */
    fun fail() {
        platform.outage = true
    }

    /** The process of [entry] is killed. */
    fun kill(entry: GatewaySite) {
        sharedRows -= entry
        entry.close()
    }

    /** [entry] no longer hears of changes in the store. */
    fun cutOff(entry: GatewaySite) {
        entry.instances.isHanging = true
        sharedRows.getValue(entry).isHanging = true
    }

    /** Starts an entry and registers [instances]. */
    suspend fun entry(vararg instances: Pair<String, VersionedUpstream>): GatewaySite {
        val rows = FakeWatchedTable<SharedRow>()
        platform.copy().values.filter { it.key.startsWith("$SHARED_TABLE/") }.forEach { row ->
            val key = row.key.removePrefix("$SHARED_TABLE/")
            rows.set(key, decodeSharedRow(key, "${row.value}"))
        }
        val site =
            GatewaySite(
                emptyList(),
                sharedRows = rows,
                platform = platform,
                startedMs = startedMs,
                times = GatewayTimes(1.hours, stopLimit = 5.hours, registryInterval = REGISTRY_INTERVAL),
            )
        entries += site
        sharedRows[site] = rows
        instances.forEach { (id, instance) -> site.add(id, instance) }
        eventually { site.isReady() shouldBe true }
        delay(REGISTRY_INTERVAL * 4)
        return site
    }

    override fun close() = entries.forEach { it.close() }
}

internal suspend fun withStore(block: suspend SharedStore.() -> Unit) =
    withContext(Dispatchers.IO) { SharedStore().use { it.block() } }

/** Begins the stream [id], which breaks off after its first event; returns the version that began it. */
internal fun GatewaySite.begin(id: String): String {
    val response = call(RESUMED, id = id)
    withClue(response) { response shouldContain "data: " }
    return Regex("data: (\\S+)").find(response)!!.groupValues[1]
}

internal fun GatewaySite.resume(
    began: String,
    id: String,
) = call(RESUMED, id = id, headers = "Last-Event-Id: 1\r\nX-Resumes: $began\r\n")

internal fun String.isCut() = !endsWith("\r\n0\r\n\r\n")

internal fun String.versions() = Regex("data: (\\S+)").findAll(this).map { it.groupValues[1] }.toSet()
