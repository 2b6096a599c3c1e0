package io.teaselspring.core.fairness

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import io.teaselspring.core.InstanceId
import io.teaselspring.core.OrganisationId
import kotlin.random.Random

class OrganisationLimitsTest :
    FunSpec({
        val organisation = OrganisationId("a")

        // Guards against a limit that each entry applies in full, and against one that wastes most of the limit when
        // the demand is uneven.
        test("entries together hold the rate limit within the stated bound and use it") {
            checkAll(PropTestConfig(seed = 11, iterations = 40), Arb.long()) { seed ->
                val random = Random(seed)
                val names = List(1 + random.nextInt(8)) { InstanceId("e$it") }
                val entries = names.map { OrganisationLimits(it).apply { entriesChanged(names.toSet()) } }
                val weights = names.map { random.nextDouble() * random.nextInt(3) + 0.01 }
                val limit = OrganisationLimit(50.0, null)
                val loses = random.nextBoolean()
                var admitted = 0
                for (nowMs in 0L until 20_000L step 2) {
                    if (nowMs % 1000 == 10L) {
                        val reports = entries.mapNotNull { it.report(nowMs) }
                        for (entry in entries) {
                            reports.forEach {
                                if (!loses ||
                                    random.nextInt(5) > 0
                                ) {
                                    entry.received(it)
                                }
                            }
                        }
                    }
                    var pick = random.nextDouble() * weights.sum()
                    val index = weights.indexOfFirst { weight -> (pick - weight).also { pick = it } < 0 }
                    val wait = entries[maxOf(0, index)].admit(organisation, limit, nowMs)
                    if (wait == null) admitted += 1 else wait shouldBeGreaterThanOrEqual 0
                }
                val part = if (loses) 2.0 else 1.0
                admitted.toDouble() shouldBeLessThanOrEqual part * (50 * 21 + names.size)
                if (!loses) admitted.toDouble() shouldBeGreaterThan 0.8 * 50 * 20
            }
        }

        // Guards against slots that are given out twice by rounding.
        test("whole slots of all entries add up to the limit") {
            checkAll(PropTestConfig(seed = 12, iterations = 200), Arb.long()) { seed ->
                val random = Random(seed)
                val names = List(1 + random.nextInt(40)) { InstanceId("e$it") }
                val demand = names.associateWith { random.nextInt(20) }
                val shares = limitShares(names) { demand.getValue(it) }
                shares.sum() shouldBe (1.0 plusOrMinus 1e-9)
                val limit = random.nextInt(100)
                names.indices.sumOf { wholeSlots(shares, it, limit) } shouldBe limit
            }
        }

        // Guards against more concurrent requests than the limit, slots that never return, and state that grows with
        // every organisation ever seen.
        test("an entry holds its slots, gets them back, and forgets idle organisations") {
            val limits = OrganisationLimits(InstanceId("e"))
            val limit = OrganisationLimit(null, 3)
            List(5) { limits.admit(organisation, limit, 0) }.count { it == null } shouldBe 3
            limits.ended(organisation)
            limits.admit(organisation, limit, 1) shouldBe null
            repeat(3) { limits.ended(organisation) }
            limits.report(10_000)
            limits.size shouldBeLessThanOrEqual 0
        }
    })
