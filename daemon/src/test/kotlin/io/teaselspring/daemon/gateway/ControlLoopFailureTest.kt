/*
 * Guards against an unexpected exception in one control loop of an entry that ends the loop for good, or the entry.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.daemon.eventually

private fun answering() =
    ScriptedUpstream { request, output ->
        output.respond(request)
        ConnectionAction.KEEP
    }

private val shortFreshness = GatewaySite.testSettings().copy(readyMs = 1_600)

class ControlLoopFailureTest :
    FunSpec({
        test("an exception while the configuration is read: the entry serves on and becomes ready again") {
            withGateway(answering(), settings = shortFreshness) {
                config.thrown = IllegalStateException("odd row")
                config.set("config", configOf(version = 2))
                eventually { isReady() shouldBe false }
                call(PLAIN) shouldStartWith "HTTP/1.1 200"
                config.thrown = null
                eventually { isReady() shouldBe true }
            }
        }

        test("an exception while the registry is read: the entry serves on and hears of later instances") {
            val later = answering()
            withGateway(answering()) {
                instances.thrown = IllegalStateException("odd row")
                instances.set("unrelated", null)
                eventually { instances.throws shouldBeGreaterThan 0 }
                call(PLAIN) shouldStartWith "HTTP/1.1 200"
                instances.thrown = null
                add("engine-1", later)
                eventually {
                    repeat(10) { call(PLAIN) }
                    later.requests.value.size shouldBeGreaterThan 0
                }
            }
        }
    })
