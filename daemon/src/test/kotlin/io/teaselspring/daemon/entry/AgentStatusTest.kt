/*
 * Guards against a status that is none and that an entry passes on because an agent reports it, for example one of an
 * earlier version that does not check the status lines of its upstream.
 */
package io.teaselspring.daemon.entry

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.ktor.client.statement.bodyAsText
import io.teaselspring.daemon.Site
import io.teaselspring.daemon.withSite
import io.teaselspring.protocol.Message

private suspend fun Site.agentReporting(status: Int) =
    scriptedAgent {
        listOf(
            Message.Accepted(it.requestId, it.attempt),
            Message.Started(it.requestId, it.attempt, status, emptyList()),
            Message.Chunk(it.requestId, it.attempt, 0, "hello".toByteArray()),
            Message.Finished(it.requestId, it.attempt, 1, null),
        )
    }

class AgentStatusTest :
    FunSpec({
        listOf(-1, 0, 20, 99, 100, 199, 600, 999, 2000).forEach { status ->
            test("the status $status of an agent is no answer to a caller") {
                withSite {
                    agentReporting(status)
                    start()
                    val response = order()
                    val text = response.bodyAsText()
                    withClue(text) {
                        response.status.value shouldBe 502
                        text shouldContain "outcome unknown"
                    }
                }
            }
        }

        listOf(200, 299, 404, 599).forEach { status ->
            test("the status $status of an agent is passed on") {
                withSite {
                    agentReporting(status)
                    start()
                    val response = order()
                    response.status.value shouldBe status
                    response.bodyAsText() shouldBe "hello"
                }
            }
        }
    })
