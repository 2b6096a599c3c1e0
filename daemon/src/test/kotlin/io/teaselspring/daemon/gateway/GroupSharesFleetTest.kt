/*
 * Tests how shares of latency groups reach all entries. Guards against entries that partition the engines differently,
 * against shares that are lost with the lease holder, the store or a row, and against changes where the switch is off.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.capacity.GroupDemand
import io.teaselspring.core.capacity.decodeDemand
import io.teaselspring.core.capacity.encodeDemand
import io.teaselspring.core.placement.GroupShares
import io.teaselspring.core.routing.RoutingConfig
import io.teaselspring.core.usage.EntryUsageRow
import io.teaselspring.core.usage.UsageWindow
import io.teaselspring.daemon.config.TABLE
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.daemon.usage.decodeRow
import io.teaselspring.ports.Row
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Duration.Companion.seconds

private val upstream = UpstreamName("narradores")
private const val KEY = "groups/narradores"
private const val WINDOW_MS = 5_000L
private const val PROMPT = "X-Prompt-Parts: shared:70,own:5\r\n"

/** Entries that follow the shares, of which the one with the lease in [epoch] publishes them. */
private class ShareFleet {
    val platform = FakePlatform()
    val states = List(3) { GroupShareState { true } }
    var epoch: Long? = 1
    private var window = 0L
    private val publisher =
        GroupSharePublisher(platform.platform.table, states[0], { 31 }, { window * WINDOW_MS }, { epoch })

    init {
        platform.onApplied = { write -> follow(write.value.toString()) }
    }

    /** All entries get the row with [text]; null if it was deleted. */
    fun follow(text: String?) {
        val row = text?.let { decodeSharedRow(KEY, it) } as? SharedRow.Groups
        states.forEach { it.apply(mapOf(upstream to row?.shares)) }
    }

    /** Ends a window in which two entries had the [work] of the groups, and each group as much. */
    suspend fun endWindow(vararg work: Long) {
        window += 1
        val demand = mapOf(upstream to work.map { GroupDemand(1, 1, promptTokens = it) })
        val rows = List(2) { EntryUsageRow("$it", groups = encodeDemand(demand)) }
        publisher.record(UsageWindow(window * WINDOW_MS), rows + EntryUsageRow("x", groups = JsonPrimitive(7)))
        publisher.publish()
    }

    fun shares() = states.map { it.of(upstream).fractions }.distinct()
}

class GroupSharesFleetTest :
    FunSpec({
        test("all entries follow the shares, and a new lease holder publishes after two windows") {
            val fleet = ShareFleet()
            fleet.shares() shouldBe listOf(GroupShares.INITIAL.fractions)
            repeat(2) { fleet.endWindow(400, 200, 400) }
            fleet.shares() shouldBe listOf(listOf(0.4, 0.2))
            fleet.epoch = null
            repeat(4) { fleet.endWindow(100, 200, 700) }
            fleet.shares() shouldBe listOf(listOf(0.4, 0.2))
            fleet.epoch = 2
            fleet.endWindow(100, 200, 700)
            fleet.shares() shouldBe listOf(listOf(0.4, 0.2))
            fleet.endWindow(100, 200, 700)
            // The first group keeps its initial share of 0.15, although 0.1 of the work is its own.
            fleet.shares() shouldBe listOf(listOf(0.15, 0.2))
        }

        test("the last shares stay in force while the store is unavailable, and without a readable row") {
            val fleet = ShareFleet()
            repeat(2) { fleet.endWindow(400, 200, 400) }
            fleet.platform.outage = true
            repeat(2) { fleet.endWindow(100, 200, 700) }
            fleet.shares() shouldBe listOf(listOf(0.4, 0.2))
            fleet.platform.outage = false
            val unreadable =
                listOf("7", "{}", "[]") +
                    listOf("[]", "[2.0]", "[-0.1]", "[\"x\"]", "[null]").map { """{"shares":$it}""" }
            (unreadable + null).forEach {
                withClue("$it") {
                    fleet.follow(it)
                    fleet.shares() shouldBe listOf(listOf(0.4, 0.2))
                    fleet.states.map { state -> state.followed(upstream).isStored }.distinct() shouldBe listOf(false)
                }
            }
            repeat(2) { fleet.endWindow(400, 200, 400) }
            fleet.states.map { it.followed(upstream).isStored }.distinct() shouldBe listOf(true)
        }

        test("after a restore the row found is adopted, and shares without a row stay until they are published") {
            val state = GroupShareState { true }
            state.replaceAll(mapOf(upstream to GroupShares(listOf(0.4, 0.2))))
            state.replaceAll(mapOf(upstream to GroupShares(listOf(0.2, 0.2))))
            state.of(upstream).fractions shouldBe listOf(0.2, 0.2)
            state.replaceAll(emptyMap())
            state.followed(upstream).let { it.shares.fractions to it.isStored } shouldBe (listOf(0.2, 0.2) to false)
        }

        test("an upstream to which the switch does not apply keeps the fixed shares, whatever its row states") {
            var isTimed = false
            val state = GroupShareState { isTimed }
            state.apply(mapOf(upstream to GroupShares(listOf(0.4, 0.2))))
            state.of(upstream) shouldBe GroupShares.FIXED
            isTimed = true
            state.of(upstream) shouldBe GroupShares(listOf(0.4, 0.2))
        }

        // Guards the way from the requests of all entries to the row, where the upstream is adaptive as it is timed.
        test("the lease holder publishes shares by the usage rows of all entries") {
            val engine =
                ScriptedUpstream { request, output ->
                    output.streamHead(request, "X-Load: 1,0,64,100\r\n")
                    output.chunk("data: 1\n\n")
                    output.lastChunk()
                    ConnectionAction.KEEP
                }
            val times = GatewayTimes(usageWindow = 1.seconds, stopLimit = 5.seconds)
            val platform = FakePlatform()
            withGateways(2, engine, platform = platform, times = times) { sites ->
                sites.forEach { site ->
                    (1..7).forEach { site.add("engine-$it", engine) }
                    site.config.set("config", withTwoGroups(site.configOf(version = 2)))
                }
                var stored: Row? = null
                val endMs = sites.first().millisSinceStart() + 40_000
                while (stored == null && sites.first().millisSinceStart() < endMs) {
                    sites.forEach { it.call(STREAM, headers = PROMPT) }
                    stored = platform.copy()["$SHARED_TABLE/$KEY"]
                }
                decodeShares(stored?.value.toString()) shouldBe GroupShares(listOf(0.5))
            }
        }

        listOf(true, false).forEach { isAdaptive ->
            test("an entry stores the demand by group where upstreams are adaptive: $isAdaptive") {
                val engine =
                    ScriptedUpstream { request, output ->
                        output.streamHead(request)
                        repeat(3) { output.chunk("data: $it\n\n") }
                        output.lastChunk()
                        ConnectionAction.KEEP
                    }
                val settings = GatewaySite.testSettings().copy(adaptiveGroups = isAdaptive)
                withGateway(engine, settings = settings, reportsUsage = true) {
                    config.set("config", withTwoGroups(configOf(version = 2)))
                    probeStore()
                    call(STREAM, headers = PROMPT)
                    drain()
                    val rows = platform.rows.values.filter { it.key.startsWith("$TABLE/usage/") && "/entry/" in it.key }
                    val demand =
                        rows
                            .mapNotNull {
                                decodeRow<EntryUsageRow>(
                                    it,
                                ).getOrNull()?.groups
                            }.map(::decodeDemand)
                    // Of the shared part, 30 % are expected to be prefilled at the preferred instance.
                    val ofFirst = GroupDemand(arrived = 1, sent = 1, promptTokens = 26, outputTokens = 12)
                    demand shouldBe
                        if (isAdaptive) listOf(mapOf(upstream to listOf(ofFirst, GroupDemand()))) else emptyList()
                }
            }
        }
    })

private fun withTwoGroups(config: RoutingConfig) =
    RoutingConfig(
        config.version,
        config.routes.map { it.copy(maxEventGapMs = if (it.prefix == STREAM) 50 else 200) },
        config.organisations,
    )
