/*
 * The holder of the leases is killed or frozen past its lease while orders and reports are due. The checks read only
 * what the platform received.
 */
package io.teaselspring.integration

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.minutes

private const val ORDERS = "lease/orders"
private const val USAGE = "lease/usage"
private const val SETTLE_MS = 8_000L

class LeaseTest :
    FunSpec({
        val carriage = CarriageSite(extra = "\"usage_window_ms\": 10000,")
        val platform = carriage.site.platform
        var count = 1
        afterSpec { carriage.close() }

        fun holderOf(lease: String): Node? = carriage.entries.firstOrNull { it.process.isAlive && it.holds(lease) }

        /** Raises how many services must run, so that the holder of the lease has an order to send at once. */
        fun makeOrderDue(through: Node = carriage.entries.first { it.process.isAlive }) {
            count++
            val base = carriage.site.file("base-$count.jsonc", baseWanting(count)).toString()
            awaitTrue("the change is accepted") { carriage.site.ctl(through, "apply", "--base", base).exitCode == 0 }
        }

        fun orders() = receivedBy(platform).filter { it.kind == "order" }

        fun awaitOrderAfter(count: Int) = awaitTrue("an order arrives") { orders().size > count }

        fun check() =
            withClue(receivedBy(platform).joinToString("\n")) { faultsIn(receivedBy(platform)).shouldBeEmpty() }

        // Guards against two leaders after a crash, and against an order that nobody takes up.
        test("I6 after the holder of the order lease is killed only its successor sends orders") {
            carriage.withLogs {
                makeOrderDue()
                awaitOrderAfter(0)
                val holder = await("an entry holds the lease") { holderOf(ORDERS) }
                makeOrderDue()
                holder.process.kill()
                awaitTrue("a successor holds the lease") { holderOf(ORDERS)?.let { it != holder } ?: false }
                val received = orders().size
                makeOrderDue()
                awaitOrderAfter(received)
                check()
                holder.process = carriage.site.host.restart(holder.process)
                carriage.site.list(holder, "entry")
            }
        }

        // Guards against a holder that resumes after a pause and still believes that it is the leader.
        test("I6 I7 a holder frozen past its lease sends nothing after its successor") {
            carriage.withLogs {
                val holder = await("an entry holds the lease") { holderOf(ORDERS) }
                platform.faults("""{"delay_ms": 300}""")
                makeOrderDue()
                holder.process.freeze()
                val other = carriage.entries.first { it != holder }
                try {
                    awaitTrue("the other entry holds both leases") { other.holds(ORDERS) && other.holds(USAGE) }
                    platform.faults("{}")
                    val received = orders().size
                    makeOrderDue(through = other)
                    awaitOrderAfter(received)
                } finally {
                    platform.faults("{}")
                    holder.process.resume()
                }
                Thread.sleep(SETTLE_MS)
                check()
                orders().last().epoch shouldBe orders().maxOf { it.epoch }
            }
        }

        // Guards against a window that is billed twice with different figures.
        test("I7 every window is reported with one set of figures, also after lost responses") {
            carriage.withLogs {
                platform.faults("""{"lose_responses": 6, "lose_path_prefix": "/usage-reports"}""")

                fun windows() = receivedBy(platform).filter { it.kind == "usage_report" }.map { it.subject }.toSet()
                awaitTrue("some windows are reported", 3.minutes) {
                    carriage.entries.forEach { carriage.stream(it, 3).end.join() }
                    windows().size > 2
                }
                platform.faults("{}")
                windows().size shouldBeGreaterThan 2
                check()
            }
        }
    })

/** Whether the log of this entry says that it holds [lease]. */
private fun Node.holds(lease: String): Boolean =
    process.log
        .lineSequence()
        .lastOrNull { "lease=$lease " in it && ("event=lease_began" in it || "event=lease_ended" in it) }
        ?.contains("event=lease_began") ?: false

/** The example's base with [count] services wanted. A lower count would be ordered only after ten minutes. */
private fun baseWanting(count: Int): String =
    repositoryRoot
        .resolve("examples/carriage/base.jsonc")
        .toFile()
        .readText()
        .replace("\"min_count\": 1,\n      \"max_count\": 1,", "\"min_count\": $count,\n      \"max_count\": 9,")
        .also { check("\"max_count\": 9" in it) { "the example's base has changed" } }
