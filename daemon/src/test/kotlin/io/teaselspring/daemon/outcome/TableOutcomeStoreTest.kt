package io.teaselspring.daemon.outcome

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.teaselspring.core.Incarnation
import io.teaselspring.core.OrganisationId
import io.teaselspring.core.RequestId
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.daemon.entry.Claim
import io.teaselspring.daemon.entry.OutcomeKey
import io.teaselspring.daemon.entry.StoredResponse
import io.teaselspring.protocol.Header
import kotlin.random.Random
import kotlin.time.Clock

private val key = OutcomeKey(OrganisationId("acme"), "booking 1", "f")
private val first = RequestId("r1")
private val second = RequestId("r2")

// Guards against a booking that runs twice.
class TableOutcomeStoreTest :
    FunSpec({
        fun store(platform: FakePlatform) = TableOutcomeStore(platform.platform.table, Incarnation("e"), Clock.System)

        test("a repeat gets unknown while the first runs or after its entry died, then the stored answer") {
            val platform = FakePlatform()
            store(platform).claim(key, first).getOrNull() shouldBe Claim.Taken
            store(platform).claim(key, second).getOrNull() shouldBe Claim.Unknown
            store(platform).store(key, first, StoredResponse(201, listOf(Header("a", "b")), byteArrayOf(1, 2)))
            val claim = store(platform).claim(key, second).getOrNull().shouldBeInstanceOf<Claim.Completed>()
            claim.response.body.toList() shouldBe listOf<Byte>(1, 2)
            claim.response.headers shouldBe listOf(Header("a", "b"))
            store(platform).claim(key.copy(fingerprint = "g"), second).getOrNull() shouldBe Claim.OtherRequest
        }

        test("a request that has not run frees its key, and only the holder can") {
            val platform = FakePlatform()
            store(platform).claim(key, first)
            store(platform).release(key, second).isLeft() shouldBe true
            store(platform).release(key, first).isRight() shouldBe true
            store(platform).claim(key, second).getOrNull() shouldBe Claim.Taken
            store(platform).store(key, first, StoredResponse(200, emptyList(), ByteArray(0))).isLeft() shouldBe true
        }

        test("a claim is refused while the store is down, and a lost response does not lose or double it") {
            val platform = FakePlatform()
            platform.outage = true
            store(platform).claim(key, first).isLeft() shouldBe true
            platform.outage = false
            platform.loseResponses = 1
            store(platform).claim(key, first).getOrNull() shouldBe Claim.Taken
            store(platform).claim(key, second).getOrNull() shouldBe Claim.Unknown
        }

        test("with any lost messages at most one of several requests ever gets the claim, over 300 seeds") {
            repeat(300) { seed ->
                val random = Random(seed)
                val platform = FakePlatform()
                platform.beforeWrite = {
                    if (random.nextInt(3) == 0) platform.loseResponses = 1
                    if (random.nextInt(3) == 0) platform.loseRequests = 1
                }
                val taken = (1..6).count { store(platform).claim(key, RequestId("r$it")).getOrNull() == Claim.Taken }
                (taken <= 1) shouldBe true
            }
        }
    })
