/*
 * Guards against a version that counts as recorded before it is, so that a resumption takes another one for the only
 * version, and against entries that write its row again and again.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.freshness.StoreGeneration
import io.teaselspring.daemon.control.FakePlatform
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.atomic.AtomicInteger

private val UPSTREAM = UpstreamName("narradores")

/** The versions as one entry knows them, with a store in memory and clocks that the test sets. */
private class VersionRig(
    windowMs: Long = 60_000,
    val platform: FakePlatform = FakePlatform(),
) {
    var now = 1_000_000L
    val writes = AtomicInteger()
    val generation = StoreGeneration().also { it.observe(1) }
    val versions =
        SoftwareVersions(platform.platform.table, VersionClocks({ now }, { now }), generation, { windowMs }, { 0 })

    init {
        platform.onApplied = { writes.incrementAndGet() }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun running(block: suspend VersionRig.() -> Unit) {
        val dispatcher = Dispatchers.Default.limitedParallelism(1)
        withContext(dispatcher) {
            val scope = CoroutineScope(dispatcher + Job())
            scope.launch { versions.run() }
            try {
                block()
            } finally {
                scope.cancel()
            }
        }
    }
}

class SoftwareVersionsTest :
    FunSpec({
        test("a version that left 600 s ago, at a window over 600 s, is not written in a loop") {
            VersionRig(windowMs = 622_000).running {
                versions.registryRead(mapOf(UPSTREAM to setOf("v1", "v2")))
                delay(100)
                versions.registryRead(mapOf(UPSTREAM to setOf("v2")))
                now += 4_100
                versions.registryRead(mapOf(UPSTREAM to setOf("v2")))
                delay(100)
                writes.get() shouldBe 2
                now += 601_000
                versions.registryRead(mapOf(UPSTREAM to setOf("v2")))
                delay(1_000)
                withClue("writes in 1 s") { writes.get() shouldBeLessThan 6 }
            }
        }

        test("a version that replaces the only one counts as recorded only once it is") {
            VersionRig().running {
                versions.registryRead(mapOf(UPSTREAM to setOf("v1")))
                versions.isRecorded(UPSTREAM, "v1") shouldBe false
                delay(100)
                versions.isRecorded(UPSTREAM, "v1") shouldBe true
                now += 60_000
                versions.registryRead(mapOf(UPSTREAM to setOf("v2")))
                // The row has not been written yet.
                versions.isRecorded(UPSTREAM, "v2") shouldBe false
            }
        }

        test("after a restore no version counts as recorded before it is") {
            VersionRig().running {
                versions.registryRead(mapOf(UPSTREAM to setOf("v1")))
                versions.isRecorded(UPSTREAM, "v1")
                delay(100)
                now += 60_000
                versions.registryRead(mapOf(UPSTREAM to setOf("v1", "v2")))
                generation.observe(2)
                versions.isRecorded(UPSTREAM, "v2") shouldBe false
            }
        }

        test("entries of a store that refuses writes do not begin streams that another takes for v1's") {
            VersionRig().running {
                versions.registryRead(mapOf(UPSTREAM to setOf("v1")))
                delay(100)
                platform.beforeWrite = { delay(3_600_000) }
                versions.registryRead(mapOf(UPSTREAM to setOf("v2")))
                versions.isRecorded(UPSTREAM, "v2") shouldBe false
                now += 3_100
                versions.registryRead(mapOf(UPSTREAM to setOf("v2")))
                val begins = versions.isRecorded(UPSTREAM, "v2")
                val other = VersionRig(platform = platform)
                val known = other.versions.read(UPSTREAM).getOrNull()
                withClue("begins at v2: $begins, another entry reads $known") {
                    (begins && known?.leftAtMs?.keys == setOf("v1")) shouldBe false
                }
            }
        }

        test("two entries with lasting different registries write seldom") {
            val first = VersionRig()
            val second = VersionRig(platform = first.platform)
            first.running {
                second.running {
                    val before = second.writes.get()
                    repeat(60) {
                        first.now += 500
                        second.now += 500
                        first.versions.registryRead(mapOf(UPSTREAM to setOf("v1", "v2")))
                        second.versions.registryRead(mapOf(UPSTREAM to setOf("v1")))
                        delay(20)
                        // The shared table reaches both.
                        first.versions.read(UPSTREAM)
                        second.versions.read(UPSTREAM)
                    }
                    withClue("writes in 30 s of the clock") { second.writes.get() - before shouldBeLessThan 20 }
                }
            }
        }
    })
