/*
 * Guards against attempts to connect that time out at one instance of an unreachable data centre after the other, and
 * against a whole data centre that is avoided because of one dark machine.
 */
package io.teaselspring.core.registry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre

private val OVIEDO = DataCentre("oviedo")
private val GIJON = DataCentre("gijon")

class UnreachableDataCentresTest :
    FunSpec({
        test("a data centre is unreachable after a time-out without a sign of any of its instances since the attempt") {
            val unreachable = UnreachableDataCentres()
            unreachable.recordContact(OVIEDO, 99)
            unreachable.recordTimeout(OVIEDO, startedMs = 100) shouldBe true
            unreachable.recordTimeout(OVIEDO, startedMs = 150) shouldBe false
            unreachable.all shouldBe setOf(OVIEDO)
        }

        test("a time-out at one instance does not count while another one of the data centre is heard from") {
            val unreachable = UnreachableDataCentres()
            unreachable.recordContact(OVIEDO, 100)
            unreachable.recordContact(GIJON, 50)
            unreachable.recordTimeout(OVIEDO, startedMs = 100) shouldBe false
            unreachable.all.shouldBeEmpty()
        }

        test("the first sign of an instance ends it") {
            val unreachable = UnreachableDataCentres()
            unreachable.recordTimeout(OVIEDO, startedMs = 100)
            unreachable.recordContact(GIJON, 600) shouldBe null
            unreachable.all shouldBe setOf(OVIEDO)
            unreachable.recordContact(OVIEDO, 700) shouldBe 600
            unreachable.all.shouldBeEmpty()
        }
    })
