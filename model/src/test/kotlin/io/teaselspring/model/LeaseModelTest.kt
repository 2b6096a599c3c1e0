/*
 * Checks the lease, the orders and the usage reports of src/main/tla/Lease.tla, and that the check is able to fail:
 * each broken variant takes one protection away, and TLC has to refute it.
 */
package io.teaselspring.model

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class LeaseModelTest :
    FunSpec({
        fun check(
            name: String,
            changes: Map<String, String>,
            violated: String? = null,
            invariants: List<String>? = null,
        ) = test(name) {
            val result = checkModel(name, "Lease", changes, invariants ?: violated?.let(::listOf))
            withClue(result.output) {
                result.violated shouldBe violated
                result.exitCode shouldBe if (violated == null) 0 else INVARIANT_FAILED
            }
        }

        val noRenewal = mapOf("MaxWrites" to "2", "MaxTime" to "5")
        val oneClock = noRenewal + ("MaxDrift" to "0")
        val reports = noRenewal + ("MaxOrders" to "0")
        val resigns = mapOf("Resigns" to "TRUE", "MaxDrift" to "0", "MaxTime" to "4")
        val pause = oneClock + ("PauseBeforeSend" to "TRUE")
        val checksEpoch = mapOf("ChecksEpoch" to "TRUE")
        val storeTime = noRenewal + ("StoreTime" to "TRUE")
        val epochs = listOf("OneHolder", "NoOlderOrder", "NumberedOnce", "OneFigure")

        check("I6 no two holders send orders in the same period", noRenewal)
        check("I6 renewals keep it so", mapOf("MaxDrift" to "0"))
        check("I6 a successor may count from the store's time in the row", storeTime)
        check("I7 no two holders report, and no window has two figures", reports)
        check("I6 a process that stops as planned gives the lease up without an overlap", resigns)
        check(
            "I6 a pause before the send leaves older orders out at a receiver that checks epochs",
            pause + checksEpoch,
            invariants = epochs,
        )

        check(
            "refuted: no margin before the expiry",
            noRenewal + mapOf("Margin" to "0", "Wait" to "1"),
            "OneHolderEvenLate",
        )
        check("refuted: a successor waits for the lease only", noRenewal + ("Wait" to "0"), "OneHolderEvenLate")
        check(
            "refuted: the lease counts from the answer",
            oneClock + ("CountFromAnswer" to "TRUE"),
            "OneHolderEvenLate",
        )
        check(
            "refuted: the store's time in the row is from before a suspension of the holder",
            storeTime + ("StoreLag" to "2"),
            "OneHolderEvenLate",
        )
        check("refuted: orders are not recorded first", oneClock + ("RecordFirst" to "FALSE"), "NumberedOnce")
        check("refuted: the window is not frozen first", reports + ("FreezeFirst" to "FALSE"), "OneFigure")
        check("left open: an order that a pause made late overlaps", pause, "OneHolderEvenLate")
        check(
            "left open: an order that a pause made late is applied where epochs are not checked",
            pause,
            "NoOlderOrder",
        )
    })
