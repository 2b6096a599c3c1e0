/*
 * Guards against dropping live instances whose rows the registry lost in its own outage, against keeping instances that
 * no longer exist, and against rows that the registry performs late and that take newer ones back.
 */
package io.teaselspring.core.registry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName

class InstanceRegistryTest :
    FunSpec({
        fun instance(
            id: String,
            isDraining: Boolean = false,
            startedAtMs: Long? = 1,
            sequence: Long? = null,
            slots: Int = 64,
        ) = RegisteredInstance(
            InstanceId(id),
            UpstreamName("narradores"),
            "10.0.0.1:80",
            DataCentre("oviedo"),
            slots,
            isDraining,
            startedAtMs,
            sequence = sequence,
        )

        fun InstanceRegistry.put(
            row: RegisteredInstance,
            nowMs: Long = 0,
        ) = update(row.id, row, nowMs)

        fun InstanceRegistry.ids() = instances.map { it.id.value }

        fun rows(vararg all: RegisteredInstance) = all.associateBy { it.id }

        test("an instance that disappeared during an outage stays for the grace period and is then removed") {
            val registry = InstanceRegistry(graceMs = 2_000)
            registry.replace(rows(instance("a"), instance("b")), afterOutage = false, nowMs = 0)
            registry.replace(rows(instance("a")), afterOutage = true, nowMs = 5_000)
            registry.expire(6_999)
            registry.ids() shouldContainExactly listOf("a", "b")
            registry.expire(7_000).single().now shouldBe null
            registry.ids() shouldContainExactly listOf("a")
        }

        test("an instance that comes back within the grace period stays") {
            val registry = InstanceRegistry(graceMs = 2_000)
            registry.replace(rows(instance("a")), afterOutage = false, nowMs = 0)
            registry.replace(rows(), afterOutage = true, nowMs = 5_000)
            registry.update(InstanceId("a"), instance("a"), nowMs = 6_000)
            registry.expire(9_000)
            registry.ids() shouldContainExactly listOf("a")
        }

        test("an instance whose row is deleted while the registry is available is removed at once") {
            val registry = InstanceRegistry()
            registry.replace(rows(instance("a")), afterOutage = false, nowMs = 0)
            registry.update(InstanceId("a"), null, nowMs = 0)?.now shouldBe null
            registry.ids() shouldBe emptyList()
        }

        test("a second snapshot does not prolong the grace period") {
            val registry = InstanceRegistry(graceMs = 2_000)
            registry.replace(rows(instance("a")), afterOutage = false, nowMs = 0)
            registry.replace(rows(), afterOutage = true, nowMs = 5_000)
            registry.replace(rows(), afterOutage = true, nowMs = 6_500)
            registry.expire(7_000)
            registry.ids() shouldBe emptyList()
        }

        test("an unchanged row is no change") {
            val registry = InstanceRegistry()
            registry.put(instance("a", sequence = 1))
            registry.put(instance("a", sequence = 1)) shouldBe null
            registry.put(instance("a", sequence = 2)) shouldBe null
            registry.put(instance("a", startedAtMs = 2))?.before?.startedAtMs shouldBe 1
        }

        test("an instance that drains stays so whatever a later row of the same process says") {
            listOf(null, 4L, 6L).forEach { sequence ->
                val registry = InstanceRegistry(lateRowMs = 10_000)
                registry.put(instance("a", isDraining = true, sequence = 5))
                registry.put(instance("a", sequence = sequence)) shouldBe null
                registry.applyLastingRows(10_000)
                registry.instances.single().isDraining shouldBe true
            }
        }

        test("an earlier row of the same process changes nothing") {
            val registry = InstanceRegistry()
            registry.put(instance("a", sequence = 5, slots = 8))
            registry.put(instance("a", sequence = 4, slots = 64)) shouldBe null
            registry.put(instance("a", sequence = 4, isDraining = true)) shouldBe null
            registry.instances.single() shouldBe instance("a", sequence = 5, slots = 8)
        }

        test("a new process is listed at once, and a late row of the one before changes nothing") {
            val registry = InstanceRegistry()
            registry.put(instance("a", isDraining = true, startedAtMs = 1, sequence = 50))
            registry.put(instance("a", startedAtMs = 2, sequence = 1))?.now?.isDraining shouldBe false
            registry.put(instance("a", isDraining = true, startedAtMs = 1, sequence = 51)) shouldBe null
            registry.instances.single().startedAtMs shouldBe 2
        }

        test("a row that is performed after its deletion brings nothing back, one of a live process does") {
            val registry = InstanceRegistry(rowTimeoutMs = 3_600)
            registry.put(instance("a", sequence = 5))
            registry.update(InstanceId("a"), null, nowMs = 3_600)
            registry.put(instance("a", sequence = 4), nowMs = 4_000) shouldBe null
            registry.ids() shouldBe emptyList()
            registry.put(instance("a", sequence = 9), nowMs = 5_000)?.before shouldBe null
            registry.ids() shouldContainExactly listOf("a")

            registry.put(instance("a", isDraining = true, sequence = 10), nowMs = 6_000)
            registry.update(InstanceId("a"), null, nowMs = 7_000)
            registry.put(instance("a", sequence = 11), nowMs = 8_000) shouldBe null
            registry.put(instance("a", startedAtMs = 2, sequence = 1), nowMs = 9_000)?.now?.isDraining shouldBe false
        }

        test("an instance that left is listed again with the second row of its process or the first of a new one") {
            listOf(4L, 5L, 6L).forEach { lateSequence ->
                val registry = InstanceRegistry(rowTimeoutMs = 3_600)
                registry.put(instance("a", sequence = 5))
                registry.update(InstanceId("a"), null, nowMs = 3_599)
                registry.put(instance("a", sequence = lateSequence), nowMs = 4_000) shouldBe null
                registry.update(InstanceId("a"), null, nowMs = 8_000)
                registry.put(instance("a", sequence = 7), nowMs = 9_000) shouldBe null
                registry.ids() shouldBe emptyList()
                registry.put(instance("a", sequence = 8), nowMs = 10_400)?.before shouldBe null
                registry.ids() shouldContainExactly listOf("a")
                registry.update(InstanceId("a"), null, nowMs = 11_000)
                registry.put(instance("a", startedAtMs = 2, sequence = 1), nowMs = 11_400)?.now?.startedAtMs shouldBe 2
            }
        }

        test("an instance that left is listed again once its row has lasted, and drains with its first row") {
            listOf<Long?>(6, null).forEach { sequence ->
                val registry = InstanceRegistry(lateRowMs = 10_000, rowTimeoutMs = 3_600)
                registry.put(instance("a", sequence = 5))
                registry.update(InstanceId("a"), null, nowMs = 1_000)
                registry.put(instance("a", sequence = sequence), nowMs = 2_000) shouldBe null
                registry.applyLastingRows(11_999) shouldBe emptyList()
                registry.applyLastingRows(12_000).single().now shouldBe instance("a", sequence = sequence)
                registry.update(InstanceId("a"), null, nowMs = 13_000)
                registry.put(instance("a", sequence = 7, isDraining = true), nowMs = 14_000)?.before shouldBe null
                registry.put(instance("a", sequence = 8), nowMs = 15_000) shouldBe null
            }
        }

        test("a process whose clock was set back is listed once its rows have lasted longer than a late one could") {
            val registry = InstanceRegistry(lateRowMs = 10_000)
            registry.put(instance("a", startedAtMs = 9, sequence = 50))
            registry.put(instance("a", startedAtMs = 7, sequence = 1), nowMs = 1_000) shouldBe null
            registry.put(instance("a", startedAtMs = 7, sequence = 2), nowMs = 6_000) shouldBe null
            registry.applyLastingRows(10_999) shouldBe emptyList()
            registry
                .applyLastingRows(11_000)
                .single()
                .now
                ?.startedAtMs shouldBe 7
        }

        test("a late row that a newer one has replaced, or that an outage hides, does not count as lasting") {
            val registry = InstanceRegistry(lateRowMs = 10_000)
            registry.put(instance("a", startedAtMs = 9))
            registry.put(instance("a", startedAtMs = 7), nowMs = 1_000)
            registry.put(instance("a", startedAtMs = 9), nowMs = 2_000)
            registry.put(instance("a", startedAtMs = 7), nowMs = 8_000)
            registry.applyLastingRows(11_000) shouldBe emptyList()
            registry.replace(rows(instance("a", startedAtMs = 7)), afterOutage = true, nowMs = 17_000)
            registry.applyLastingRows(18_000) shouldBe emptyList()
        }

        test("a row without the start of its process is one of the known process") {
            val registry = InstanceRegistry()
            registry.put(instance("a", startedAtMs = 3, sequence = 5))
            registry.put(instance("a", startedAtMs = null, sequence = 6, slots = 8))?.now?.startedAtMs shouldBe 3
            registry.put(instance("a", startedAtMs = 3, isDraining = true, sequence = 7))
            registry.put(instance("a", startedAtMs = null, sequence = 8)) shouldBe null
        }
    })
