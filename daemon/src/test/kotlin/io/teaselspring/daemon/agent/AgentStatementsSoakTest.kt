/*
 * Guards against requests through agents to upstreams that have said they are leaving or want a pause, under load and
 * at any moment, over restarts at the same address. The number of seeds is the system property `soak.seeds`.
 */
package io.teaselspring.daemon.agent

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.ktor.client.request.header
import io.ktor.client.statement.bodyAsText
import io.teaselspring.daemon.gateway.Journal
import io.teaselspring.daemon.gateway.MoodyInstance
import io.teaselspring.daemon.withSite
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val UPSTREAMS = 5
private const val CALLERS = 16

class AgentStatementsSoakTest :
    FunSpec({
        for (seed in 1..(System.getProperty("soak.seeds")?.toInt() ?: 3)) {
            test("upstreams that leave or pause at any time get nothing too late, and nothing is lost: seed $seed") {
                val journal = Journal()
                val random = Random(seed)
                val present = List(UPSTREAMS) { MoodyInstance("i$it", journal, seed * 100 + it) }
                val answered = AtomicInteger()
                val later = AtomicInteger()
                val lost = ConcurrentLinkedQueue<String>()
                withSite {
                    present.forEach { agent("http://${it.upstream.address}", plainService = true, maxRunning = 8) }
                    start()
                    withContext(Dispatchers.IO) {
                        val end = journal.start.elapsedNow() + 6.seconds
                        val callers =
                            List(CALLERS) { caller ->
                                async {
                                    var number = 0
                                    while (journal.start.elapsedNow() < end) {
                                        val id = "$caller-${number++}"
                                        val response = order { header("X-Call", id) }
                                        val status = response.status.value
                                        val runs = journal.runs[id]?.get() ?: 0
                                        answered.incrementAndGet()
                                        val isRefused = (status == 503 || status == 429) && runs == 0
                                        if (!isRefused &&
                                            (status != 200 || runs != 1)
                                        ) {
                                            lost += "$id $status, $runs runs: ${response.bodyAsText()}"
                                        }
                                        if (isRefused) delay(10.milliseconds)
                                    }
                                }
                            }
                        // A release: each upstream in turn says that it leaves, goes, and starts anew at its address.
                        val next =
                            present.mapIndexed { index, old ->
                                delay(random.nextLong(200, 500).milliseconds)
                                old.isLeaving.set(true)
                                delay(300.milliseconds)
                                old.upstream.close()
                                delay(300.milliseconds)
                                val port =
                                    old.upstream.address
                                        .substringAfter(':')
                                        .toInt()
                                MoodyInstance("n$index", journal, seed * 100 + UPSTREAMS + index, port)
                            }
                        callers.awaitAll()
                        next.forEach {
                            later.addAndGet(
                                it.upstream.requests.value
                                    .count { "/healthz" !in it.line },
                            )
                        }
                        next.forEach { it.upstream.close() }
                    }
                }
                withClue("answered ${answered.get()}, by new processes ${later.get()}") {
                    journal.tooLate.shouldBeEmpty()
                    lost.shouldBeEmpty()
                    later.get() shouldBeGreaterThan 50
                }
                println("seed $seed: answered ${answered.get()}, by new processes ${later.get()}")
            }
        }
    })
