package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.teaselspring.daemon.control.FakePlatform

// Guards against entries that exceed their share of common limits because their count of entries is too low.
class EntryCountTest :
    FunSpec({
        test("the count stored by one entry is read by the others, also after a restart") {
            val platform = FakePlatform()
            val counting = EntryCount(platform.platform.table, assumed = 10)
            val other = EntryCount(platform.platform.table, assumed = 10)
            other.read()
            other.value shouldBe 10
            counting.store(27)
            counting.value shouldBe 27
            other.read()
            other.value shouldBe 27
        }

        test("an entry that is missing for one window is still counted, one that is missing longer is not") {
            val platform = FakePlatform()
            val counting = EntryCount(platform.platform.table, assumed = 10)
            listOf(5 to 5, 3 to 5, 5 to 5, 4 to 5, 4 to 4, 0 to 4, 0 to 1).forEach { (counted, count) ->
                counting.store(counted)
                counting.value shouldBe count
            }
        }

        test("without the store the last known number is kept") {
            val platform = FakePlatform()
            val entry = EntryCount(platform.platform.table, assumed = 10)
            entry.store(5)
            platform.outage = true
            entry.store(9)
            entry.read()
            entry.value shouldBe 5
            platform.outage = false
            entry.store(9)
            entry.value shouldBe 9
        }
    })
