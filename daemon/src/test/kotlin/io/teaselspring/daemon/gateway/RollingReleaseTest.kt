/*
 * Guards against streams that are joined from two software versions, or that can no longer be resumed, while instances
 * are replaced one by one by those of another version and their streams break off at any time.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val INSTANCES = 4
private const val CALLERS = 8
private const val CALLS = 20

/** One caller's stream: the versions of its events, and whether its resumption went on. */
private class ReleasedStream(
    val versions: Set<String>,
    val isResumed: Boolean,
    val wentOn: Boolean,
)

/** Calls one entry, and resumes a stream that was cut at another one, as callers do. */
private fun callAndResume(
    entries: List<GatewaySite>,
    random: Random,
    id: String,
): ReleasedStream {
    val first = entries.random(random).call(RESUMED, id = id)
    val lastId =
        Regex("id: (\\d+)")
            .findAll(first)
            .lastOrNull()
            ?.groupValues
            ?.get(1)
    if (!first.isCut() || lastId == null) return ReleasedStream(first.versions(), isResumed = false, wentOn = false)
    val headers = "Last-Event-Id: $lastId\r\nX-Resumes: $id\r\n"
    val rest = entries.random(random).call(RESUMED, id = "$id-2", headers = headers)
    return ReleasedStream(first.versions() + rest.versions(), isResumed = true, wentOn = "data: " in rest)
}

class RollingReleaseTest :
    FunSpec({
        listOf(2, 30).forEach { count ->
            test("over a rolling release at $count entries no stream is joined, and most go on, seed 63") {
                val random = Random(63)
                val breaksNow = { Random.nextInt(3) == 0 }
                withStore {
                    val old = List(INSTANCES) { VersionedUpstream("v1", breaksNow = breaksNow) }
                    val registered = old.mapIndexed { index, one -> "old-$index" to one }.toTypedArray()
                    val entries = List(count) { entry(*registered) }
                    val streams = ConcurrentLinkedQueue<ReleasedStream>()
                    coroutineScope {
                        val callers =
                            List(CALLERS) { caller ->
                                val own = Random(random.nextInt())
                                async {
                                    repeat(CALLS) {
                                        streams += callAndResume(entries, own, "c$caller-$it")
                                        delay(own.nextLong(100).milliseconds)
                                    }
                                }
                            }
                        old.forEachIndexed { index, leaving ->
                            delay(300)
                            val new = VersionedUpstream("v2", breaksNow = breaksNow)
                            entries.forEach {
                                it.add("new-$index", new)
                                it.add("old-$index", leaving, isDraining = true)
                            }
                        }
                        callers.awaitAll()
                    }
                    streams.filter { it.versions.size > 1 }.map { it.versions }.shouldBeEmpty()
                    streams.flatMap { it.versions }.toSet() shouldBe setOf("v1", "v2")
                    val resumed = streams.filter { it.isResumed }
                    val wentOn = resumed.count { it.wentOn }
                    withClue("${streams.size} streams, ${resumed.size} resumed, $wentOn went on") {
                        resumed.size shouldBeGreaterThan 0
                        wentOn * 2 shouldBeGreaterThan resumed.size
                    }
                    println("$count entries: ${streams.size} streams, ${resumed.size} resumed, $wentOn went on")
                }
            }
        }
    })
