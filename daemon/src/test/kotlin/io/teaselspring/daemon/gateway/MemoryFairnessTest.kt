/*
 * Guards against an organisation, or callers with made-up keys, that hold all memory of an entry, so that the large
 * requests of others are refused.
 */
package io.teaselspring.daemon.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.core.OrganisationId
import io.teaselspring.daemon.eventually
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.random.Random

private const val BODY_BYTES = 1024 * 1024
private const val LIMIT_BYTES = 4L * BODY_BYTES
private const val RESERVE_BYTES = 2L * BODY_BYTES + 512 * 1024

class MemoryFairnessTest :
    FunSpec({
        test("an organisation that fills the memory leaves room for others, which then get equal parts") {
            repeat(20) { seed ->
                val random = Random(seed)
                val budget = ByteBudget(LIMIT_BYTES, RESERVE_BYTES)
                val body = LIMIT_BYTES / 16
                val organisations = List(2) { OrganisationId("o$it") }
                val running = organisations.associateWith { ArrayList<ByteBudget.Share>() }

                fun take(organisation: OrganisationId): Boolean {
                    val share = budget.Share(organisation)
                    return share.grow(body).also { if (it) running.getValue(organisation) += share }
                }
                while (take(organisations.first())) Unit
                budget.usedBytes shouldBe LIMIT_BYTES
                take(organisations.last()) shouldBe true
                repeat(500) {
                    running.values.flatten().random(random).let { share ->
                        running.values.forEach { it -= share }
                        share.release()
                    }
                    // The first organisation asks nine times as often.
                    repeat(random.nextInt(9)) { take(organisations.first()) }
                    take(organisations.last())
                }
                organisations.forEach {
                    withClue("seed $seed") { budget.organisations.heldBytes(it) shouldBeGreaterThan LIMIT_BYTES / 4 }
                }
                running.values.flatten().forEach { it.release() }
                budget.organisations.largest(5) shouldBe emptyList()
            }
        }

        listOf<Pair<String, GatewaySite.(Int) -> Socket>>(
            "bodies of running requests" to
                { connect().apply { getOutputStream().write(request(ORDER, body = "b".repeat(BODY_BYTES))) } },
            "bodies with made-up keys that do not arrive" to
                { number ->
                    val whole = request(ORDER, "made-up-$number", body = "b".repeat(BODY_BYTES))
                    connect().apply { getOutputStream().write(whole.copyOf(BODY_BYTES / 2)) }
                },
        ).forEach { (name, open) ->
            test("the large requests of one organisation do not get those of another refused: $name") {
                val release = CountDownLatch(1)
                val engine =
                    ScriptedUpstream { request, output ->
                        if (request.header("X-Priority") != "0") release.await()
                        output.respond(request, "done")
                        ConnectionAction.KEEP
                    }
                val memory = ByteBudget(LIMIT_BYTES, RESERVE_BYTES)
                withSite(GatewaySite(listOf(engine), timeoutMs = 60_000, memory = memory)) {
                    val others = List(8) { open(it) }
                    eventually { memory.usedBytes shouldBe LIMIT_BYTES }
                    repeat(10) {
                        call(ORDER, URGENT_KEY, body = "b".repeat(BODY_BYTES)) shouldStartWith "HTTP/1.1 200"
                    }
                    others.forEach { it.close() }
                    release.countDown()
                    eventually { memory.usedBytes shouldBe 0 }
                }
            }
        }
    })
