/*
 * Guards against begun streams that are missing from the store when their entry is gone, and against calls to the store
 * that grow with the traffic or the number of entries. In virtual time, on a store in memory.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.UpstreamName
import io.teaselspring.daemon.control.FakePlatform
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds

private val UPSTREAM = UpstreamName("narradores")
private const val LIMIT_MS = 5_000L

@OptIn(ExperimentalCoroutinesApi::class)
private class RecordingEntry(
    private val test: TestScope,
    val platform: FakePlatform,
    entries: Int = 1,
) {
    var areSeveral = false
    val records =
        StreamRecords(platform.platform.table, { test.currentTime }, { areSeveral }, { recordInterval(entries) })

    init {
        test.backgroundScope.launch { records.run() }
        test.backgroundScope.launch {
            while (true) {
                delay(500)
                records.expire()
            }
        }
    }

    fun begin(id: String) = records.began(keyOf(id), UPSTREAM, "v1", LIMIT_MS)
}

private fun keyOf(id: String) = streamKey(OrganisationId("hotel"), UPSTREAM, id)

private val FakePlatform.streams get() = copy().keys.filter { it.startsWith("$STREAMS_TABLE/") }

/** Counts the write calls to the platform. */
private fun FakePlatform.countWrites(): () -> Int {
    var calls = 0
    beforeWrite = { calls += 1 }
    return { calls }
}

class StreamRecordsTest :
    FunSpec({
        test("while one version serves nothing is written") {
            runTest {
                val platform = FakePlatform()
                val writes = platform.countWrites()
                val entry = RecordingEntry(this, platform)
                repeat(1_000) {
                    entry.begin("r$it")
                    delay(10)
                }
                writes() shouldBe 0
                entry.records.versionOf(keyOf("r999")) shouldBe "v1"
            }
        }

        test("streams that began before a second version was known are recorded once it is") {
            runTest {
                val platform = FakePlatform()
                val entry = RecordingEntry(this, platform)
                repeat(250) { entry.begin("r$it") }
                delay(1_000)
                entry.areSeveral = true
                entry.records.versionsChanged()
                delay(1_000)
                platform.streams.size shouldBe 250
                entry.records.read(keyOf("r7")).getOrNull() shouldBe BegunStream("v1", LIMIT_MS)
            }
        }

        // More records than one read returns.
        test("a process that starts loads the records of all streams, and forgets them when they are orphaned") {
            runTest {
                val platform = FakePlatform()
                val first = RecordingEntry(this, platform).also { it.areSeveral = true }
                repeat(1_200) { first.begin("r$it") }
                delay(2_400)
                val second = RecordingEntry(this, platform)
                second.records.load().getOrNull() shouldBe 1_200
                (0 until 1_200).forEach { second.records.versionOf(keyOf("r$it")) shouldBe "v1" }
                // Callers come back late where all entries were gone for seconds.
                delay(LIMIT_MS)
                second.records.size shouldBe 1_200
                delay(60_000)
                second.records.size shouldBe 0
            }
        }

        test("a stream that its caller loses is recorded at once") {
            runTest {
                val platform = FakePlatform()
                val entry = RecordingEntry(this, platform, entries = 60).also { it.areSeveral = true }
                entry.begin("r1")
                delay(300)
                entry.begin("r2")
                delay(20)
                platform.streams.size shouldBe 1
                entry.records.interrupted(keyOf("r2"))
                delay(1)
                platform.streams.size shouldBe 2
            }
        }

        test("records of a store that was restored are written again") {
            runTest {
                val platform = FakePlatform()
                val entry = RecordingEntry(this, platform).also { it.areSeveral = true }
                val empty = platform.copy()
                entry.begin("r1")
                delay(200)
                platform.restore(empty)
                entry.records.storeRestored()
                delay(200)
                platform.streams.size shouldBe 1
            }
        }

        test("a write that failed is repeated") {
            runTest {
                val platform = FakePlatform().also { it.outage = true }
                val entry = RecordingEntry(this, platform).also { it.areSeveral = true }
                entry.begin("r1")
                delay(3_000)
                platform.outage = false
                delay(2_500)
                entry.records
                    .read(keyOf("r1"))
                    .getOrNull()
                    ?.version shouldBe "v1"
            }
        }

        test("records are removed when their streams can no longer be resumed, also those of an entry that is gone") {
            runTest {
                val platform = FakePlatform()
                val entry = RecordingEntry(this, platform).also { it.areSeveral = true }
                repeat(30) { entry.begin("r$it") }
                delay(200)
                platform.streams.size shouldBe 30
                delay(LIMIT_MS + 12_000)
                platform.streams.size shouldBe 0
                val gone = RecordingEntry(this, platform).also { it.areSeveral = true }
                gone.begin("orphan")
                delay(200)
                val other = RecordingEntry(this, platform)
                backgroundScope.launch { other.records.removeOrphans({ true }) }
                gone.records.versionOf(keyOf("orphan")) shouldBe "v1"
                delay(30_000)
                platform.streams.size shouldBe 0
            }
        }

        // The store takes 400 writes a second from all entries, 150 of them in the part that holds these rows.
        listOf(5, 30, 330).forEach { entries ->
            test("$entries entries together write at most 60 times a second, however many streams begin") {
                runTest {
                    val platform = FakePlatform()
                    val writes = platform.countWrites()
                    val all = List(entries) { RecordingEntry(this, platform, entries).also { it.areSeveral = true } }
                    val seconds = 20
                    repeat(seconds * 20) { step ->
                        all.forEachIndexed { index, entry -> entry.begin("r$index-$step") }
                        delay(50.milliseconds)
                    }
                    // Each entry may have one more write at the start.
                    withClue(writes()) { writes() shouldBeLessThanOrEqual 60 * seconds + entries }
                }
            }
        }

        test("callers that lose their streams all the time do not raise the writes over four times as many") {
            runTest {
                val platform = FakePlatform()
                val writes = platform.countWrites()
                val entry = RecordingEntry(this, platform, entries = 60).also { it.areSeveral = true }
                repeat(1_000) {
                    entry.begin("r$it")
                    delay(10)
                    entry.records.interrupted(keyOf("r$it"))
                }
                writes() shouldBeLessThanOrEqual 4 * 10 + 1
                platform.outage = true
                val before = writes()
                repeat(1_000) {
                    entry.begin("o$it")
                    delay(10)
                    entry.records.interrupted(keyOf("o$it"))
                }
                writes() - before shouldBeLessThanOrEqual 10
            }
        }

        test("callers' ids of any length have keys of one size, which differ between organisations and upstreams") {
            val long = "x".repeat(20_000)
            val keys =
                listOf("hotel", "clinic").flatMap { organisation ->
                    listOf("a", "b").flatMap { upstream ->
                        listOf(
                            long,
                            "1",
                            "",
                        ).map { streamKey(OrganisationId(organisation), UpstreamName(upstream), it) }
                    }
                } + streamKey(null, UpstreamName("a"), "1")
            keys.toSet().size shouldBe 13
            keys.map { it.length }.toSet() shouldBe setOf(32)
        }
    })
