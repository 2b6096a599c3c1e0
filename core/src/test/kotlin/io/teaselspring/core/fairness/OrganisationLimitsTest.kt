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

        // Guards against entries that each admit the full limit, and against entries that leave most of the limit
        // unused when the demand is uneven.
        test("all entries together stay within the error bound of the rate limit and use most of the limit") {
            checkAll(PropTestConfig(seed = 11, iterations = 40), Arb.long()) { seed ->
                val random = Random(seed)
                val names = List(1 + random.nextInt(8)) { InstanceId("e$it") }
                val entries = names.map { OrganisationLimits(it).apply { setEntries(names.toSet()) } }
                val weights = names.map { random.nextDouble() * random.nextInt(3) + 0.01 }
                val limit = OrganisationLimit(50.0, null)
                val losesReports = random.nextBoolean()
                var admitted = 0
                for (nowMs in 0L until 20_000L step 2) {
                    if (nowMs % 1000 == 10L) {
                        val reports = entries.mapNotNull { it.nextReport(nowMs) }
                        for (entry in entries) {
                            reports.forEach {
                                if (!losesReports ||
                                    random.nextInt(5) > 0
                                ) {
                                    entry.addReport(it)
                                }
                            }
                        }
                    }
                    var pick = random.nextDouble() * weights.sum()
                    val index = weights.indexOfFirst { weight -> (pick - weight).also { pick = it } < 0 }
                    val retryAfterMs = entries[maxOf(0, index)].admit(organisation, limit, nowMs)
                    if (retryAfterMs == null) admitted += 1 else retryAfterMs shouldBeGreaterThanOrEqual 0
                }
                val errorFactor = if (losesReports) 2.0 else 1.0
                admitted.toDouble() shouldBeLessThanOrEqual errorFactor * (50 * 21 + names.size)
                if (!losesReports) admitted.toDouble() shouldBeGreaterThan 0.8 * 50 * 20
            }
        }

        // Guards against slots that rounding assigns twice or not at all.
        test("the slots of all entries add up to the limit") {
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

        // Guards against more concurrent requests than the limit, slots that are never released, and state that grows
        // with every organisation ever seen.
        test("an entry stays within its slots, reuses released ones and removes idle organisations") {
            val limits = OrganisationLimits(InstanceId("e"))
            val limit = OrganisationLimit(null, 3)
            List(5) { limits.admit(organisation, limit, 0) }.count { it == null } shouldBe 3
            limits.release(organisation)
            limits.admit(organisation, limit, 1) shouldBe null
            repeat(3) { limits.release(organisation) }
            limits.nextReport(10_000)
            limits.size shouldBeLessThanOrEqual 0
        }
    })
