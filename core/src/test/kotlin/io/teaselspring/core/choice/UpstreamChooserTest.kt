package io.teaselspring.core.choice

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.ModelName
import io.teaselspring.core.UpstreamName
import kotlin.random.Random

private val localDataCentre = DataCentre("north")
private val model = ModelName("m")
private val request = ChoiceRequest(UpstreamName("llm"), model, tier = 1)

private fun agent(
    index: Int,
    dataCentre: String = "north",
) = AgentView(
    InstanceId("i$index"),
    DataCentre(dataCentre),
    request.upstream,
    setOf(model),
    connected = true,
    limit = 10,
)

private fun choose(
    agents: List<AgentView>,
    request: ChoiceRequest,
    random: Random,
    tried: Set<InstanceId> = emptySet(),
) = chooseAgent(agents, request, localDataCentre, tried, 10_000, random::nextInt)

class UpstreamChooserTest :
    FunSpec({
        // Guards against a popular prompt prefix that overloads the agent it hashes to.
        test("prefix affinity keeps a prefix on one agent, and no agent far above the mean load") {
            checkAll(PropTestConfig(seed = 3, iterations = 50), Arb.int()) { seed ->
                val random = Random(seed)
                val agents = MutableList(6) { agent(it) }
                val popular = request.copy(prefixHash = seed.toLong())
                choose(agents, popular, random) shouldBe choose(agents, popular, random)
                repeat(120) {
                    val instance = choose(agents, popular, random)
                    val chosen = agents.indexOfFirst { it.instance == instance }
                    agents[chosen] = agents[chosen].let { it.copy(sentSinceReport = it.sentSinceReport + 1) }
                }
                agents.maxOf { it.sentSinceReport } shouldBeLessThanOrEqualTo 26
            }
        }

        // Guards against offers to an agent whose upstream wants none, and a wait that outlasts the first pause.
        test("an agent in a pause is not chosen, and the wait is that of the first pause to end") {
            val paused = listOf(agent(0).copy(pausedUntilMs = 12_000), agent(1).copy(pausedUntilMs = 11_000))
            val draining = agent(2).copy(draining = true)
            repeat(20) { choose(paused + agent(3), request, Random(it)) shouldBe agent(3).instance }
            pausedForMs(paused + draining + agent(3), request, 10_000) shouldBe null
            choose(paused + draining, request, Random(1)) shouldBe null
            pausedForMs(paused + draining, request, 10_000) shouldBe 1_000
            chooseAgent(paused, request, localDataCentre, emptySet(), 11_000) { 0 } shouldBe agent(1).instance
        }

        // Guards against callers that all return in the second in which the first pause ends, or before it.
        test("callers come back within the second after the first pause to end") {
            val paused = listOf(agent(0).copy(pausedUntilMs = 12_500), agent(1).copy(pausedUntilMs = 11_500))
            val random = Random(1)
            val waitsMs = List(1_000) { checkNotNull(pausedRetryAfterMs(paused, request, 10_000, random::nextInt)) }
            waitsMs.filter { it !in 1_500L..2_499L } shouldBe emptyList()
            waitsMs.count { it > 2_000 } shouldBeInRange 400..600
            pausedRetryAfterMs(paused + agent(2), request, 10_000, random::nextInt) shouldBe null
        }

        // Guards against a slow engine that keeps receiving requests because its reported load is normal, and against
        // one that has recovered but receives no requests.
        test("a straggler is ejected, probed once, and used again if the probe is fast") {
            val detector = StragglerDetector(ejectionMs = 5_000)
            val views = List(5) { agent(it) }
            repeat(20) {
                views.forEach {
                    detector.recordFirstToken(
                        it.instance,
                        if (it ===
                            views[0]
                        ) {
                            900.0
                        } else {
                            100.0
                        },
                        5_000,
                    )
                }
            }
            val random = Random(1)

            fun chosen(tier: Int = 2) =
                List(200) { choose(views.map(detector::annotate), request.copy(tier = tier), random) }
                    .count { it == views[0].instance }
            detector.recordFirstToken(views[0].instance, 900.0, 6_000)
            detector.annotate(views[0]).ejectedUntilMs shouldBe 10_000
            chosen() shouldBe 200
            chosen(tier = 1) shouldBe 0
            detector.recordOffer(views[0].instance, 10_000)
            chosen() shouldBe 0
            detector.recordFirstToken(views[0].instance, 100.0, 10_500)
            detector.annotate(views[0]).ejectedUntilMs shouldBe 0
        }

        // Guards against a displacing offer to an agent without a request to displace, while another agent has one of a
        // lower tier.
        test("a displacing offer goes to an agent with a request of a lower tier") {
            val agents =
                List(6) {
                    agent(it).copy(
                        lowestTier =
                            if (it ==
                                4
                            ) {
                                3
                            } else {
                                1
                            },
                        running = 10,
                        reportedAtMs = 9_900,
                    )
                }
            choose(agents, request.copy(displace = true), Random(1)) shouldBe InstanceId("i4")
            choose(agents, request.copy(displace = true), Random(1), setOf(InstanceId("i4"))) shouldBe null
        }

        // Guards against an agent in another data centre that is chosen although one in the local data centre has room.
        test("at equal load the local data centre is chosen, and another one if the local agent is full or draining") {
            val local = agent(0)
            val remote = agent(1, "south")
            choose(listOf(local, remote), request, Random(1)) shouldBe local.instance
            choose(listOf(local.copy(running = 10), remote), request, Random(1)) shouldBe remote.instance
            choose(listOf(local.copy(draining = true), remote.copy(connected = false)), request, Random(1)) shouldBe
                remote.instance
        }

        // Guards against many connections that change when one agent is removed, and against agents that no entry
        // connects to.
        test("the subset prefers the local data centre, covers every agent and is stable") {
            val agents = List(40) { agent(it, if (it < 10) "north" else "south") }
            val subset = agentSubset(agents, InstanceId("entry"), localDataCentre, 300)
            subset.size shouldBe 6
            agents.take(10).map { it.instance } shouldContainAll subset
            val smaller =
                agentSubset(
                    agents.filterNot { it.instance == subset.first() },
                    InstanceId("entry"),
                    localDataCentre,
                    300,
                )
            (subset - smaller).size shouldBe 1
            val few = List(3) { agentSubset(agents.drop(30), InstanceId("e$it"), DataCentre("south"), 3) }
            few.forEach { it.size shouldBeInRange 8..10 }
            few.flatten().toSet().size shouldBe 10
        }

        // Guards against a choice of none while an eligible agent has not been tried.
        test("every eligible agent is chosen once if those before refused the request") {
            val tried = mutableSetOf<InstanceId>()
            repeat(8) {
                val next = choose(List(8) { agent(it) }, request, Random(it), tried)
                next shouldNotBe null
                tried += next!!
            }
            tried.size shouldBe 8
            choose(List(8) { agent(it) }, request, Random(1), tried) shouldBe null
        }
    })
