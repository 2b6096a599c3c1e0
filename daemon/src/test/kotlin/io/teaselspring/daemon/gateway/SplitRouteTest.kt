/*
 * Guards against streams that are joined from two upstreams of one route: each attempt of a caller used to pick an
 * upstream anew, also one that resumes a stream which another upstream began.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.routing.RoutingConfig
import io.teaselspring.core.routing.WeightedUpstream
import kotlinx.coroutines.delay

private val other = UpstreamName("traductores")

private fun GatewaySite.split(
    version: Long,
    weight: Int,
    otherWeight: Int,
) {
    val upstreams = listOf(WeightedUpstream(GatewaySite.UPSTREAM, weight), WeightedUpstream(other, otherWeight))
    val config = configOf(version)
    val routes = config.routes.map { if (it.prefix == RESUMED) it.copy(upstreams = upstreams) else it }
    this.config.set("config", RoutingConfig(version, routes, config.organisations, config.limits))
}

/** An entry whose resumable route is split between an instance of each upstream, whose events name the upstream. */
private suspend fun SharedStore.splitEntry(
    first: VersionedUpstream,
    second: VersionedUpstream,
): GatewaySite {
    val site = entry("i-1" to first)
    val id = InstanceId("i-2")
    val registered = RegisteredInstance(id, other, second.upstream.address, DataCentre("oviedo"), 64, false, 1)
    site.instances.set(id.value, registered)
    site.split(version = 2, weight = 60, otherWeight = 40)
    delay(REGISTRY_INTERVAL * 4)
    return site
}

class SplitRouteTest :
    FunSpec({
        listOf("the same entry", "another entry").forEachIndexed { resuming, name ->
            test("a stream of a split route that its caller resumes at $name goes on at the upstream that began it") {
                val first = VersionedUpstream("first", breaks = true)
                val second = VersionedUpstream("second", breaks = true)
                withStore {
                    val entries = List(2) { splitEntry(first, second) }
                    val begun = List(40) { "b$it" to entries[0].begin("b$it") }
                    begun.map { it.second }.distinct() shouldContainExactlyInAnyOrder listOf("first", "second")
                    listOf(first, second).forEach { it.breaks.set(false) }
                    begun.forEach { (id, upstream) ->
                        val answer = entries[resuming].resume(id, "$id-2")
                        withClue(answer) { answer.versions() shouldBe setOf(upstream) }
                    }
                }
            }
        }

        // The operator changes the weights between the first attempt and the resumption.
        test("a stream goes on at the upstream that began it when the shares of its route have changed") {
            val first = VersionedUpstream("first", breaks = true)
            val second = VersionedUpstream("second", breaks = true)
            withStore {
                val site = splitEntry(first, second)
                val begun = List(40) { "b$it" to site.begin("b$it") }
                listOf(first, second).forEach { it.breaks.set(false) }
                site.split(version = 3, weight = 10, otherWeight = 90)
                delay(REGISTRY_INTERVAL * 4)
                begun.forEach { (id, upstream) ->
                    val answer = site.resume(id, "$id-2")
                    withClue(answer) { answer.versions() shouldBe setOf(upstream) }
                }
            }
        }

        test("a stream does not go on at an upstream that its route no longer leads to") {
            val first = VersionedUpstream("first", breaks = true)
            val second = VersionedUpstream("second")
            withStore {
                val site = splitEntry(first, second)
                val begun = (1..40).map { "b$it" }.filter { site.begin(it) == "first" }
                site.split(version = 3, weight = 0, otherWeight = 100)
                delay(REGISTRY_INTERVAL * 4)
                val reached = first.upstream.requests.value.size
                begun.forEach { site.resume(it, "$it-2") }
                first.upstream.requests.value.size shouldBe reached
            }
        }
    })
