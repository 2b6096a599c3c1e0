package io.teaselspring.daemon.config

import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.config.ConfigEdit
import io.teaselspring.core.config.Organisation
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.ports.PlatformError
import kotlinx.coroutines.test.runTest
import kotlin.random.Random

private fun organisation(id: String) = listOf(ConfigEdit.PutOrganisation(OrganisationId(id), Organisation())).right()

// Guards against a change that is accepted twice, lost, or replaced by a concurrent one.
class ConfigAcceptorTest :
    FunSpec({
        test("a change whose response was lost is accepted once, under one version") {
            val entry = TestEntry(FakePlatform())
            entry.platform.loseResponses = 1
            entry.acceptor
                .accept("a", null) { organisation("acme") }
                .getOrNull()
                ?.version shouldBe 1
            entry.table
                .changesAfter(0)
                .getOrNull()
                ?.map { it.version } shouldBe listOf(1L)
        }

        test("a change whose request was lost is written by the next attempt") {
            val entry = TestEntry(FakePlatform())
            entry.platform.loseRequests = 1
            entry.acceptor
                .accept("a", null) { organisation("acme") }
                .getOrNull()
                ?.version shouldBe 1
        }

        test("of two edits of the same version the later one is refused with both versions") {
            val platform = FakePlatform()
            val first = TestEntry(platform)
            val second = TestEntry(platform)
            first.acceptor.accept("a", 0) { organisation("acme") }
            second.acceptor.accept("b", 0) { organisation("other") }.leftOrNull() shouldBe ChangeRefusal.Conflict(0, 1)
        }

        test("a change without a required version is based anew when another one comes first") {
            runTest {
                val platform = FakePlatform()
                val first = TestEntry(platform)
                val second = TestEntry(platform)
                platform.beforeWrite = {
                    platform.beforeWrite = {}
                    second.acceptor.accept("b", null) { organisation("other") }
                }
                first.acceptor
                    .accept("a", null) { organisation("acme") }
                    .getOrNull()
                    ?.version shouldBe 2
                first.holder.state.organisations.keys
                    .map { it.value } shouldBe listOf("other", "acme")
            }
        }

        test("nothing is accepted while the store is down") {
            val entry = TestEntry(FakePlatform())
            entry.platform.outage = true
            val refusal = entry.acceptor.accept("a", null) { organisation("acme") }.leftOrNull()
            refusal.shouldBeInstanceOf<ChangeRefusal.Store>().error.shouldBeInstanceOf<PlatformError.Unavailable>()
            entry.holder.state.version shouldBe 0
        }

        test(
            "a new entry starts from the snapshot and the changes after it, and without the snapshot from all changes",
        ) {
            val platform = FakePlatform()
            val entry = TestEntry(platform)
            repeat(120) { number -> entry.acceptor.accept("a", null) { organisation("org-$number") } }
            platform.objects.keys shouldBe setOf("config/snapshot/50", "config/snapshot/100")
            val started = TestEntry(platform)
            started.sync.syncToHead()
            started.holder.state shouldBe entry.holder.state
            started.holder.changesAfter(99).shouldBeNull()
            platform.objects.clear()
            val without = TestEntry(platform)
            without.sync.syncToHead()
            without.holder.state shouldBe entry.holder.state
        }

        test("under random lost messages and outages versions rise by one and never go back, over 50 seeds") {
            runTest {
                repeat(50) { seed ->
                    val random = Random(seed)
                    val platform = FakePlatform()
                    val entries = List(3) { TestEntry(platform, seed = seed * 10 + it) }
                    platform.beforeWrite = {
                        platform.outage = random.nextInt(10) == 0
                        if (random.nextInt(4) == 0) platform.loseResponses = 1
                        if (random.nextInt(6) == 0) platform.loseRequests = 1
                    }
                    val accepted = mutableListOf<Long>()
                    repeat(40) { number ->
                        platform.outage = false
                        val entry = entries.random(random)
                        val before = entry.holder.state.version
                        entry.acceptor
                            .accept("a", null) { organisation("org-$number") }
                            .onRight { accepted += it.version }
                        (entry.holder.state.version >= before) shouldBe true
                    }
                    platform.beforeWrite = {}
                    platform.outage = false
                    entries.forEach { it.sync.syncToHead() }
                    accepted shouldBe accepted.distinct().sorted()
                    val stored =
                        entries[0]
                            .table
                            .changesAfter(0)
                            .getOrNull()
                            .shouldNotBeNull()
                    stored.map { it.version } shouldBe (1L..stored.size).toList()
                    entries.map { it.holder.state }.distinct().size shouldBe 1
                }
            }
        }
    })
