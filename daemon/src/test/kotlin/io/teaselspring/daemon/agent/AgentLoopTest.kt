/*
 * Guards against an agent that loses the end of a run: the caller of a plain request then gets the start of its
 * response and nothing more until the idle timeout.
 */
package io.teaselspring.daemon.agent

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre
import io.teaselspring.core.Incarnation
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.admission.AgentScheduler
import io.teaselspring.core.admission.SchedulerPolicy
import io.teaselspring.daemon.link.Link
import io.teaselspring.daemon.link.LinkLimits
import io.teaselspring.daemon.settings.AgentSettings
import io.teaselspring.protocol.Message
import io.teaselspring.protocol.Role
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds

private const val TICK_MS = 50L

class AgentLoopTest :
    FunSpec({
        // A run of 50 or 100 ms ends in the same millisecond in which the loop stops waiting to do its tick.
        test("the end of a run is handled at any time before, at or after a tick") {
            val lost = (1..2 * TICK_MS + 1).filter { runMs -> attemptsLeftAfterRun(runMs) != 0L }
            withClue("lengths in ms of the runs whose end was lost") { lost shouldBe emptyList() }
        }
    })

/** Runs one plain request for [runMs] on an agent and returns how many attempts the agent still has afterwards. */
private suspend fun attemptsLeftAfterRun(runMs: Long): Long {
    var left = -1L
    runTest {
        lateinit var loop: AgentLoop
        loop =
            AgentLoop(
                AgentSettings(
                    UpstreamName("timetable"),
                    "http://127.0.0.1:1",
                    emptyList(),
                    maxRunning = 4,
                    maxQueued = 4,
                ),
                AgentScheduler(SchedulerPolicy(maxRunning = 4)),
                AgentDependencies(nowMs = { testScheduler.currentTime }),
            ) { attempt ->
                backgroundScope.launch(start = CoroutineStart.UNDISPATCHED) {
                    delay(runMs.milliseconds)
                    loop.events.send(AgentEvent.RunEnded(attempt, RunResult.Complete))
                }
            }
        backgroundScope.launch { loop.run() }
        val session = EntrySession(Link(entry(), LinkLimits()))
        loop.events.send(AgentEvent.UpstreamReachability(reachable = true))
        loop.events.send(AgentEvent.LinkOpened(session))
        loop.events.send(AgentEvent.MessageReceived(session, submit()))
        runCurrent()
        loop.summary()["attempts"] shouldBe 1L
        delay((runMs + TICK_MS).milliseconds)
        left = loop.summary().getValue("attempts")
    }
    return left
}

/** The peer of a link from an entry. */
internal fun entry() =
    Message.Hello(
        version = 1,
        InstanceId("entry-1"),
        Incarnation("entry-1/1"),
        Role.ENTRY,
        DataCentre("dc-1"),
        nonce = ByteArray(0),
    )
