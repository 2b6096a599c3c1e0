/*
 * Guards against resumptions that wait for several reads of the store one after another, while their callers leave. In
 * virtual time, on a store in memory.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.freshness.StoreGeneration
import io.teaselspring.core.registry.VersionHistory
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.ports.ABSENT
import io.teaselspring.ports.TableStore
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlin.time.Duration.Companion.milliseconds

private val UPSTREAM = UpstreamName("narradores")
private const val READ_MS = 100L
private val one = VersionHistory(mapOf("v1" to null))
private val several = VersionHistory(mapOf("v1" to null, "v2" to null))

/** An entry that knows [known] of the versions, while the store has [stored]; each read takes [READ_MS]. */
@OptIn(ExperimentalCoroutinesApi::class)
private class ResumingEntry(
    private val test: TestScope,
    known: VersionHistory,
    private val stored: VersionHistory,
) {
    private val platform = FakePlatform()
    private val table =
        object : TableStore by platform.platform.table {
            override suspend fun get(
                table: String,
                key: String,
            ) = delay(READ_MS).let { platform.platform.table.get(table, key) }
        }
    private val clocks = VersionClocks({ test.currentTime }, { test.currentTime })
    private val generation = StoreGeneration().also { it.observe(1) }
    private val versions = SoftwareVersions(table, clocks, generation, { 60_000 }, { 0 })
    private val records = StreamRecords(table, { test.currentTime }, versions::areSeveral, { 100.milliseconds })
    private val metrics = GatewayMetrics(PrometheusRegistry())
    private val resumptions = StreamResumptions(test.backgroundScope, records, versions, isShared = true, metrics)

    init {
        versions.apply(mapOf(UPSTREAM to StoredVersions(known, 1)))
    }

    /** What is found of the stream that [recorded] is the version of in the store, and after which time in ms. */
    suspend fun find(recorded: String?): Pair<ResumedVersion, Long> {
        val row = encodeVersions(StoredVersions(stored, 1))
        platform.platform.table.put(SHARED_TABLE, "$VERSIONS_KEY_PREFIX$UPSTREAM", row, ABSENT)
        val record =
            buildJsonObject {
                put("version", JsonPrimitive(recorded))
                put("until_ms", JsonPrimitive(60_000))
            }
        if (recorded != null) platform.platform.table.put(STREAMS_TABLE, "key", record, ABSENT)
        val startMs = test.currentTime
        val found = CompletableDeferred<ResumedVersion>()
        resumptions.find("key", UPSTREAM, "r1") { found.complete(it) }
        return found.await() to test.currentTime - startMs
    }
}

class StreamResumptionsTest :
    FunSpec({
        test("a recorded stream is found with one read while several versions are known") {
            runTest {
                ResumingEntry(this, known = several, stored = several).find("v2") shouldBe
                    (ResumedVersion("v2", VersionSource.RECORD) to READ_MS)
            }
        }

        test("the only version is found with one read") {
            runTest {
                ResumingEntry(this, known = one, stored = one).find(null) shouldBe
                    (ResumedVersion("v1", VersionSource.ONLY_VERSION) to READ_MS)
            }
        }

        test("a recorded stream is found by an entry that knows one of several versions") {
            runTest {
                ResumingEntry(this, known = one, stored = several).find("v2") shouldBe
                    (ResumedVersion("v2", VersionSource.RECORD) to 2 * READ_MS)
            }
        }

        test("a stream without a record is unknown while several versions count, after a wait for its record") {
            runTest {
                ResumingEntry(this, known = several, stored = several).find(null) shouldBe
                    (ResumedVersion(null, VersionSource.UNKNOWN) to 3 * READ_MS + 200)
            }
        }
    })
