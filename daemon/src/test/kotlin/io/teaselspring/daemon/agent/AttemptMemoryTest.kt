/*
 * Guards against an agent whose memory goes into the bodies of requests that wait, and against one that has no room for
 * a request and then takes no cancellation either, or never gets the room back.
 */
package io.teaselspring.daemon.agent

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.teaselspring.core.RequestId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.admission.AgentScheduler
import io.teaselspring.core.admission.AttemptId
import io.teaselspring.core.admission.SchedulerEvent
import io.teaselspring.core.admission.SchedulerPolicy
import io.teaselspring.daemon.gateway.ByteBudget
import io.teaselspring.daemon.link.Link
import io.teaselspring.daemon.link.LinkLimits
import io.teaselspring.daemon.settings.AgentSettings
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.NotRunReason
import kotlinx.coroutines.Job

private const val BODY_BYTES = 400 * 1024
private const val PATIENCE_MS = 600_000L

class AttemptMemoryTest :
    FunSpec({
        test("offers are admitted by bytes, refused as not run, and every end of a request gives its bytes back") {
            val memory = ByteBudget(limitBytes = 1024 * 1024, reserveBytes = 0)
            val refused = mutableListOf<RequestId>()
            val started = mutableListOf<Attempt>()
            val table =
                AttemptTable(
                    AgentSettings(UpstreamName("timetable"), "http://127.0.0.1:1", emptyList(), 1, 8),
                    AgentScheduler(SchedulerPolicy(maxRunning = 1, maxQueued = 8)),
                    AgentDependencies(nowMs = { 0 }, memory = memory),
                    startRun = {
                        started += it
                        Job()
                    },
                ) { _, message ->
                    if (message is Message.NotRun) {
                        message.reason shouldBe NotRunReason.QUEUE_FULL
                        refused += message.requestId
                    }
                }
            val session = EntrySession(Link(entry(), LinkLimits()))

            fun offer(id: String) {
                val body = ByteArray(BODY_BYTES)
                val patient = submit().copy(requestId = RequestId(id), body = body, firstTokenBudgetMs = PATIENCE_MS)
                table.submit(session, patient.copy(deadlineMs = PATIENCE_MS))
            }

            table.step(SchedulerEvent.UpstreamReachable(true))
            listOf("runs", "waits", "third").forEach(::offer)
            refused shouldBe listOf(RequestId("third"))

            table.cancel(AttemptId(RequestId("waits"), 1))
            offer("fourth")
            refused.size shouldBe 1

            table.handleRunEnd(started.first(), RunResult.Complete)
            offer("fifth")
            refused.size shouldBe 1
            table.handleRunEnd(started.last(), RunResult.Broken("connection closed"))
            table.handleRunEnd(started.last(), RunResult.Complete)
            memory.usedBytes shouldBe 0
        }
    })
