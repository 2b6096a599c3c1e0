/*
 * Guards against withdrawn keys that stay valid, and against wrong refusals, while the store is unavailable, does not
 * respond, or holds a configuration that cannot be read.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.teaselspring.core.routing.UnreadableConfig
import io.teaselspring.daemon.eventually
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

private fun echo() =
    ScriptedUpstream { request, output ->
        output.respond(request)
        ConnectionAction.KEEP
    }

private val shortFreshness = GatewaySite.testSettings().copy(keyFreshnessMs = 1_600, certainMs = 1_600, readyMs = 1_600)

/** Longer than two polls without changes take, so that no request starts a read of the whole table. */
private val polledFreshness = GatewaySite.testSettings().copy(keyFreshnessMs = 4_700, readyMs = 4_700)

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

        listOf("cannot be read" to UnreadableConfig, "is deleted" to null).forEach { (name, row) ->
            test("a configuration that $name confirms nothing: requests with a key get 503 until the next one") {
                withGateway(echo(), settings = polledFreshness) {
                    call(PLAIN) shouldStartWith "HTTP/1.1 200"
                    config.set("config", row)
                    eventually { call(PLAIN) shouldStartWith "HTTP/1.1 503" }
                    // Other rows of the table, and polls without a change, say nothing about the configuration.
                    config.set("evacuate/gijon", null)
                    delay(2_500.milliseconds)
                    call(PLAIN) shouldStartWith "HTTP/1.1 503"
                    call(PLAIN, key = "other") shouldStartWith "HTTP/1.1 503"
                    isReady() shouldBe false
                    config.set("config", configOf(version = 2, keys = setOf("other")))
                    eventually { call(PLAIN, key = "other") shouldStartWith "HTTP/1.1 200" }
                    call(PLAIN) shouldStartWith "HTTP/1.1 401"
                    isReady() shouldBe true
                }
            }
        }

        test("a public request with a key is served without an organisation once the configuration is too old") {
            val upstream = echo()
            withGateway(upstream, settings = shortFreshness) {
                fun organisation() =
                    upstream.requests.value
                        .last()
                        .header("X-Organisation")
                call(PUBLIC) shouldStartWith "HTTP/1.1 200"
                organisation() shouldBe "hotel"
                call(PUBLIC, key = "other") shouldStartWith "HTTP/1.1 200"
                organisation() shouldBe null
                config.isHanging = true
                eventually { call(PLAIN) shouldStartWith "HTTP/1.1 503" }
                repeat(5) {
                    call(PUBLIC) shouldStartWith "HTTP/1.1 200"
                    organisation() shouldBe null
                }
            }
        }
    })
