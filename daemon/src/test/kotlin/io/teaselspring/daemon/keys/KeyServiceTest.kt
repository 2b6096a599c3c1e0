package io.teaselspring.daemon.keys

import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.teaselspring.core.KeyId
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.config.ConfigEdit
import io.teaselspring.core.config.Organisation
import io.teaselspring.daemon.config.TestEntry
import io.teaselspring.daemon.control.FakePlatform
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.UnconfinedTestDispatcher
import kotlinx.coroutines.test.runTest
import kotlin.random.Random

private suspend fun TestEntry.withKey(): CreatedKey {
    acceptor.accept("a", null) { listOf(ConfigEdit.PutOrganisation(OrganisationId("acme"), Organisation())).right() }
    return keys.create("a", OrganisationId("acme")).getOrNull().shouldNotBeNull()
}

// Guards against a withdrawn key that still works, and against stored secrets.
class KeyServiceTest :
    FunSpec({
        test("a created key authenticates its organisation and its secret is stored nowhere") {
            val entry = TestEntry(FakePlatform())
            val created = entry.withKey()
            entry.holder.authenticate(created.secret)?.organisation shouldBe OrganisationId("acme")
            entry.holder.authenticate(created.secret + "x").shouldBeNull()
            entry.platform.rows.values
                .joinToString() shouldNotContain created.secret
        }

        test("a withdrawal during an outage works at once and another entry that knows it stores it") {
            runTest {
                val platform = FakePlatform()
                val first = TestEntry(platform)
                val second = TestEntry(platform)
                val created = first.withKey()
                second.sync.syncToHead()
                platform.outage = true
                first.keys.withdraw("a", created.id).getOrNull() shouldBe Withdrawal(created.id, null)
                first.holder.authenticate(created.secret).shouldBeNull()
                second.holder.withdraw(setOf(created.id))
                second.holder.authenticate(created.secret).shouldBeNull()
                platform.outage = false
                val storing = launch { second.keys.run(Random(1)) }
                testScheduler.advanceTimeBy(20_000)
                storing.cancel()
                second.holder.pending() shouldBe emptySet()
                first.sync.syncToHead()
                first.holder.pending() shouldBe emptySet()
                first.holder.authenticate(created.secret).shouldBeNull()
                first.holder.withdrawnKeys() shouldBe setOf(created.id)
            }
        }

        test("a withdrawal that arrives with the change log is told to the request path as well") {
            runTest(UnconfinedTestDispatcher()) {
                val platform = FakePlatform()
                val first = TestEntry(platform)
                val second = TestEntry(platform)
                val created = first.withKey()
                second.sync.syncToHead()
                var told = emptySet<KeyId>()
                val collecting = launch { told = second.holder.withdrawals.first() }
                first.keys.withdraw("a", created.id)
                second.sync.syncToHead()
                collecting.join()
                told shouldBe setOf(created.id)
            }
        }
    })
