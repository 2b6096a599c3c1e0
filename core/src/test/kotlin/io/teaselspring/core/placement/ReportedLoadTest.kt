/*
 * Guards against a load report that is dropped whole because it has more figures than expected or an odd one.
 */
package io.teaselspring.core.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class ReportedLoadTest :
    FunSpec({
        test("a report with a work time and further figures keeps its first three") {
            parseLoadReport("3,1,64") shouldBe ReportedLoad(3, 1, 64)
            parseLoadReport("3, 1, 64, 250") shouldBe ReportedLoad(3, 1, 64, workTimePct = 250)
            parseLoadReport("3,1,64,250,7,x") shouldBe ReportedLoad(3, 1, 64, workTimePct = 250)
        }

        test("an odd work time counts as not stated") {
            listOf("3,1,64,", "3,1,64,fast", "3,1,64,0", "3,1,64,-100", "3,1,64,99999999999").forEach {
                parseLoadReport(it) shouldBe ReportedLoad(3, 1, 64)
            }
        }

        test("a report without three figures is none") {
            listOf("", "3,1", "3,x,64,100", ",,,", "3,1,-64").forEach { parseLoadReport(it) shouldBe null }
        }
    })
