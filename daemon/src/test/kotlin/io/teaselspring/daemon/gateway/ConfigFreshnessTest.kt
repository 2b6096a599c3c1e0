/*
 * Guards against withdrawn keys that stay valid, and against wrong refusals, while the store is unavailable or does not
 * respond.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.daemon.eventually

private fun echo() =
    ScriptedUpstream { request, output ->
        output.respond(request)
        ConnectionAction.KEEP
    }

private val shortFreshness = GatewaySite.testSettings().copy(keyFreshnessMs = 1_600, certainMs = 1_600, readyMs = 1_600)

class ConfigFreshnessTest :
    FunSpec({
        test("a key is accepted only by the configuration that contains it, and an unknown key gets 401") {
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

        test("while the store is unavailable, requests with a key get 503 once the configuration is too old") {
            withGateway(echo(), settings = shortFreshness) {
                config.isUnavailable = true
                eventually { call(PLAIN) shouldStartWith "HTTP/1.1 503" }
                call(PLAIN, key = "other") shouldStartWith "HTTP/1.1 503"
                isReady() shouldBe false
                config.isUnavailable = false
                eventually { call(PLAIN) shouldStartWith "HTTP/1.1 200" }
                isReady() shouldBe true
            }
        }

        test("while the store does not respond, requests with a key get 503 once the configuration is too old") {
            withGateway(echo(), settings = shortFreshness) {
                config.isHanging = true
                eventually { call(PLAIN) shouldStartWith "HTTP/1.1 503" }
            }
        }
    })
