/*
 * Guards against dropping live instances whose rows the registry lost in its own outage, and against keeping instances
 * that no longer exist.
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
            startedAtMs: Long = 1,
        ) = RegisteredInstance(
            InstanceId(id),
            UpstreamName("narradores"),
            "10.0.0.1:80",
            DataCentre("oviedo"),
            64,
            isDraining,
            startedAtMs,
        )

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
            registry.update(InstanceId("a"), instance("a"))
            registry.expire(9_000)
            registry.ids() shouldContainExactly listOf("a")
        }

        test("an instance whose row is deleted while the registry is available is removed at once") {
            val registry = InstanceRegistry()
            registry.replace(rows(instance("a")), afterOutage = false, nowMs = 0)
            registry.update(InstanceId("a"), null)?.now shouldBe null
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
            registry.update(InstanceId("a"), instance("a"))
            registry.update(InstanceId("a"), instance("a")) shouldBe null
            registry.update(InstanceId("a"), instance("a", startedAtMs = 2))?.before?.startedAtMs shouldBe 1
        }
    })
