/*
 * Guards against an entry that takes instances for idle because it has not heard from them for some time, while their
 * load comes from other entries.
 */
package io.teaselspring.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe

private fun reported(
    running: Int,
    atMs: Long,
) = KnownLoad().apply { record(ReportedLoad(running, waiting = 0, slots = 64), atMs) }

class KnownLoadTest :
    FunSpec({
        test("a report counts the requests of other entries only") {
            val load = KnownLoad()
            repeat(3) { load.requestStarted(unsharedTokens = 100) }
            load.record(ReportedLoad(running = 5, waiting = 2, slots = 64), nowMs = 0)
            load.requestEnded(unsharedTokens = 100)
            load.requestsAt(0) shouldBe 6.0
            load.unsharedTokens shouldBe 200
        }

        test("an instance without a new report counts as the others of its group") {
            val old = reported(running = 0, atMs = 0)
            val unknown = KnownLoad()
            val fresh = reported(running = 12, atMs = 60_000)
            val estimate = OtherEntriesLoad(listOf(old, unknown, fresh), nowMs = 60_000)
            listOf(old, unknown, fresh).forEach { estimate.requestsOn(it) shouldBe (12.0 plusOrMinus 0.01) }
        }

        test("an entry that hears from no instance takes all of them for idle in the end") {
            val silent = reported(running = 50, atMs = 0)
            OtherEntriesLoad(listOf(silent), nowMs = 60_000).requestsOn(silent) shouldBe (0.0 plusOrMinus 0.01)
            OtherEntriesLoad(listOf(silent), nowMs = 0).requestsOn(silent) shouldBe 50.0
        }
    })
