/*
 * Guards against withdrawn keys that go on working, and against refusing proper requests, while the store is away or
 * answers nothing.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.daemon.eventually

private fun echo() =
    ScriptedUpstream { request, output ->
        output.answer(request)
        After.KEEP
    }

private val quick = GatewaySite.testSettings().copy(keyFreshnessMs = 1_600, certainMs = 1_600, readyMs = 1_600)

class ConfigFreshnessTest :
    FunSpec({
        test("a key works only on the configuration that has it, and an unknown one is refused for good") {
            withGateway(echo()) {
                call(PLAIN) shouldStartWith "HTTP/1.1 200"
                call(PLAIN, key = "other") shouldStartWith "HTTP/1.1 401"
                call("/nowhere/") shouldStartWith "HTTP/1.1 404"
                config.set("config", configOf(version = 2, keys = setOf("other")))
                eventually { call(PLAIN, key = "other") shouldStartWith "HTTP/1.1 200" }
                call(PLAIN) shouldStartWith "HTTP/1.1 401"
            }
        }

        test("an older version never replaces a newer one") {
            withGateway(echo()) {
                config.set("config", configOf(version = 9, keys = setOf("other")))
                eventually { call(PLAIN, key = "other") shouldStartWith "HTTP/1.1 200" }
                config.set("config", configOf(version = 3))
                config.set("unrelated", null)
                call(PLAIN, key = "other") shouldStartWith "HTTP/1.1 200"
            }
        }

        test("while the store is away, calls with a key are refused as not run once the knowledge is too old") {
            withGateway(echo(), settings = quick) {
                config.isAway = true
                eventually { call(PLAIN) shouldStartWith "HTTP/1.1 503" }
                call(PLAIN, key = "other") shouldStartWith "HTTP/1.1 503"
                isReady() shouldBe false
                config.isAway = false
                eventually { call(PLAIN) shouldStartWith "HTTP/1.1 200" }
                isReady() shouldBe true
            }
        }

        test("while the store answers nothing, the same holds, and the entry finds back") {
            withGateway(echo(), settings = quick) {
                config.isSilent = true
                eventually { call(PLAIN) shouldStartWith "HTTP/1.1 503" }
            }
        }
    })
