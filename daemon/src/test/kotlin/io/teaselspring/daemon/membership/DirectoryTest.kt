package io.teaselspring.daemon.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.choice.AgentView
import io.teaselspring.core.orders.UpstreamDemand
import io.teaselspring.daemon.control.chosenAddresses
import io.teaselspring.daemon.control.demandOn
import io.teaselspring.daemon.orders.UpstreamSite
import io.teaselspring.ports.InstanceState
import io.teaselspring.ports.ListedInstance

private fun listed(
    name: String,
    role: String,
    dataCentre: String = "oviedo",
) = ListedInstance(name, role, dataCentre, "10.0.0.$name:1", upstream = "narradores".takeIf { role == AGENT_ROLE })

// Guards against load sent to instances that announced their shutdown, and against an outage of the instance list that
// empties the directory.
class DirectoryTest :
    FunSpec({
        test("a goodbye takes precedence over the list until the list drops the instance or a link to it opens again") {
            val directory = Directory(InstanceId("1"), emptyList())
            val both = listOf(listed("1", ENTRY_ROLE), listed("2", ENTRY_ROLE), listed("3", ENTRY_ROLE))
            directory.update(both)
            directory.markDeparted(InstanceId("2"))
            directory.update(both)
            directory.entries().map { it.instance } shouldBe listOf("3")
            directory.update(both.filter { it.instance != "2" })
            directory.update(both)
            directory.entries().map { it.instance } shouldBe listOf("2", "3")
            directory.markDeparted(InstanceId("3"))
            directory.markPresent(InstanceId("3"))
            directory.entries().map { it.instance } shouldBe listOf("2", "3")
        }

        test("seeds are used only until a list has been read, and leaving instances are not used") {
            val directory = Directory(InstanceId("1"), listOf("seed:1"))
            directory.agentAddresses() shouldBe listOf("seed:1")
            directory.agents().shouldBeNull()
            val leaving = listed("8", AGENT_ROLE).copy(state = InstanceState.LEAVING)
            val unusable = listOf("", "host", "host:0", ":1").map { listed("9", AGENT_ROLE).copy(internalAddress = it) }
            directory.update(listOf(listed("7", AGENT_ROLE), leaving) + unusable)
            directory.agentAddresses() shouldBe listOf("10.0.0.7:1")
        }

        test("a small system links all agents, and a large one a subset that prefers the own data centre") {
            fun chosen(count: Int): List<String> {
                val agents =
                    (0 until count).map {
                        listed(
                            "$it",
                            AGENT_ROLE,
                            if (it <
                                count / 2
                            ) {
                                "oviedo"
                            } else {
                                "gijon"
                            },
                        )
                    }
                return chosenAddresses(agents, InstanceId("e"), DataCentre("oviedo"), 330) { 1 }
            }
            chosen(4).size shouldBe 4
            val own = (0 until 300).map { "10.0.0.$it:1" }.toSet()
            (chosen(600).size < 30) shouldBe true
            (chosen(600) - own) shouldBe emptyList()
        }

        test("demand is extrapolated from the linked agents and unknown when none is linked") {
            val site = UpstreamSite(DataCentre("oviedo"), UpstreamName("narradores"))
            val agents = List(4) { listed("$it", AGENT_ROLE) }
            val view =
                AgentView(
                    InstanceId("0"),
                    site.dataCentre,
                    site.upstream,
                    emptySet(),
                    running = 3,
                    queued = 1,
                    limit = 8,
                )
            demandOn(site, agents, listOf(view, view.copy(running = 5))) shouldBe UpstreamDemand(16, 4, 8)
            demandOn(site, agents, emptyList()).shouldBeNull()
            demandOn(site, emptyList(), emptyList()) shouldBe UpstreamDemand(0, 0, 1)
        }
    })
