package io.teaselspring.daemon.orders

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre
import io.teaselspring.core.Incarnation
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.config.Upstream
import io.teaselspring.core.config.UpstreamKind
import io.teaselspring.core.lease.LeaseTimes
import io.teaselspring.core.orders.ScalingPolicy
import io.teaselspring.core.orders.UpstreamDemand
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.daemon.lease.LeaseKeeper
import io.teaselspring.daemon.milliseconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Instant

private val site = UpstreamSite(DataCentre("oviedo"), UpstreamName("narradores"))
private val upstream = Upstream(UpstreamKind.PLAIN_SERVICE, minCount = 1, maxCount = 20)

private class Leader(
    scope: TestScope,
    platform: FakePlatform,
    name: String,
    var demand: UpstreamDemand?,
) {
    private val clock =
        object : Clock {
            override fun now() = Instant.fromEpochMilliseconds(scope.testScheduler.currentTime)
        }
    val lease =
        LeaseKeeper(ORDERS_LEASE, Incarnation(name), platform.platform.table, clock, scope.testTimeSource, LeaseTimes())
    val loop =
        OrderLoop(
            Incarnation(name),
            platform.platform.table,
            platform.platform.orders,
            OrderInputs({ mapOf(site to upstream) }, { demand }, { ScalingPolicy() }),
            clock,
            scope.testTimeSource.milliseconds(),
            lease::epochToSend,
        )
}

// Guards against concurrent orders from two leaders, orders sent without a stored record, and orders that a failed
// leader recorded but didn't send.
class OrderLoopTest :
    FunSpec({
        test("an order whose response is lost is sent again with the same number until it is confirmed") {
            runTest {
                val platform = FakePlatform()
                val leader = Leader(this, platform, "a", UpstreamDemand(10, 0, 10))
                val keeping = launch { leader.lease.run() }
                delay(1_000)
                platform.beforeWrite = { if (platform.rows.keys.any { "orders/" in it }) platform.loseResponses = 1 }
                leader.loop.sendDueOrders()
                platform.beforeWrite = {}
                platform.loseResponses = 0
                leader.loop.sendDueOrders()
                leader.loop.sendDueOrders()
                platform.orders.map { Triple(it.number, it.count, it.epoch) }.distinct() shouldBe
                    listOf(Triple(1L, 2, 1L))
                keeping.cancel()
            }
        }

        test("the next leader resumes an order that a failed leader recorded, with its own epoch and a new number") {
            runTest {
                val platform = FakePlatform()
                val first = Leader(this, platform, "a", UpstreamDemand(10, 0, 10))
                val keeping = launch { first.lease.run() }
                delay(1_000)
                platform.beforeWrite = { if (platform.rows.keys.any { "orders/" in it }) platform.outage = true }
                first.loop.sendDueOrders()
                keeping.cancel()
                platform.beforeWrite = {}
                platform.outage = false
                platform.orders shouldBe emptyList()
                val second = Leader(this, platform, "b", demand = null)
                val keepingSecond = launch { second.lease.run() }
                delay(20_000)
                second.loop.sendDueOrders()
                platform.orders.map { Triple(it.number, it.count, it.epoch) } shouldBe listOf(Triple(2L, 2, 2L))
                keepingSecond.cancel()
            }
        }

        test("epochs and numbers of orders never decrease over 50 seeds of delays and outages") {
            var orders = 0
            repeat(50) { seed ->
                runTest {
                    val random = Random(seed)
                    val platform = FakePlatform()
                    platform.beforeWrite = {
                        delay(random.nextLong(1, 300))
                        platform.outage = random.nextInt(12) == 0
                        if (random.nextInt(8) == 0) platform.loseResponses = 1
                    }
                    val leaders = List(3) { Leader(this, platform, "l$it", UpstreamDemand(0, 0, 10)) }
                    val jobs =
                        leaders.flatMap { leader ->
                            listOf(
                                launch { leader.lease.run() },
                                launch {
                                    while (true) {
                                        delay(random.nextLong(500, 4_000))
                                        leader.demand = UpstreamDemand(random.nextInt(120), 0, 10)
                                        leader.loop.sendDueOrders()
                                    }
                                },
                            )
                        }
                    delay(120_000)
                    jobs.forEach { it.cancel() }
                    orders += platform.orders.size
                    platform.orders.zipWithNext().forEach { (before, after) ->
                        (after.epoch >= before.epoch && after.number >= before.number) shouldBe true
                        if (after.number == before.number) after.count shouldBe before.count
                    }
                }
            }
            orders shouldBeGreaterThan 100
        }
    })
