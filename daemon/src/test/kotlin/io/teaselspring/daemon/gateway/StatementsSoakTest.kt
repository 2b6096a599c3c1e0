/*
 * Guards against requests to instances that have said they are leaving or want a pause, under load and at any moment:
 * scripted instances say both at random, leave and are replaced, and count what they receive against it. The number of
 * seeds is the system property `soak.seeds`.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val INSTANCES = 5
private const val CALLERS = 16

class StatementsSoakTest :
    FunSpec({
        val seeds = System.getProperty("soak.seeds")?.toInt() ?: 3
        for (seed in 1..seeds) {
            test("instances that leave or pause at any time get nothing too late, and nothing is lost: seed $seed") {
                val journal = Journal()
                val random = Random(seed)
                val present =
                    MutableList(INSTANCES) { MoodyInstance("i$it", journal, seed * 100 + it) }
                withGateway(*present.map { it.upstream }.toTypedArray()) {
                    val answered = AtomicInteger()
                    val lost = ConcurrentLinkedQueue<String>()
                    coroutineScope {
                        val end = journal.start.elapsedNow() + 4.seconds
                        val callers =
                            List(CALLERS) { caller ->
                                async {
                                    var number = 0
                                    while (journal.start.elapsedNow() < end) {
                                        number += 1
                                        val id = "$caller-$number"
                                        val response = call(ORDER, headers = "X-Call: $id\r\n")
                                        val runs = journal.runs[id]?.get() ?: 0
                                        answered.incrementAndGet()
                                        val isDone = response.startsWith("HTTP/1.1 200") && runs == 1
                                        val isRefused = response.startsWith("HTTP/1.1 503") && runs == 0
                                        if (!isDone && !isRefused) lost += "$id ran $runs times: $response"
                                    }
                                }
                            }
                        // A release: each instance in turn says that it leaves, goes, and is replaced by a new one.
                        repeat(INSTANCES) { index ->
                            delay(random.nextLong(200, 700).milliseconds)
                            present[index].isLeaving.set(true)
                            val next = MoodyInstance("n$index", journal, seed * 100 + INSTANCES + index)
                            add("next-$index", next.upstream)
                            if (random.nextBoolean()) instances.set("engine-$index", null)
                        }
                        callers.awaitAll()
                    }
                    withClue("answered ${answered.get()}") {
                        journal.tooLate.shouldBeEmpty()
                        lost.shouldBeEmpty()
                        answered.get() shouldBeGreaterThan 500
                    }
                    println("seed $seed: answered ${answered.get()}, run ${journal.runs.size}")
                }
            }
        }
    })
