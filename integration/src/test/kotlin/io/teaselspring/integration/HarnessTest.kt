/*
 * The harness itself: a harness whose faults do nothing would let every other test pass.
 */
package io.teaselspring.integration

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

class HarnessTest :
    FunSpec({
        val site = Site()
        afterSpec { site.close() }

        test("a process that does not start is reported with its log") {
            val process = site.host.start("broken", "standins", listOf("engine"))
            shouldThrow<IllegalStateException> { process.listening }.message shouldContain "--model"
        }

        test("a killed process answers nothing until it is started again") {
            val service = site.service("service")
            send("GET", "${service.url}/healthz").status shouldBe 200
            service.process.kill()
            send("GET", "${service.url}/healthz").status shouldBe 0
            val again = StandIn(site.host.restart(service.process))
            send("GET", "${again.url}/healthz").status shouldBe 200
        }

        test("a frozen process answers only after it goes on") {
            val service = site.service("frozen")
            service.url
            service.process.freeze()
            val response = sendAsync("GET", "${service.url}/healthz")
            shouldThrow<java.util.concurrent.TimeoutException> {
                response.get(300, java.util.concurrent.TimeUnit.MILLISECONDS)
            }
            service.process.resume()
            response.join().status shouldBe 200
        }

        test("a cut proxy passes nothing and a healed one passes again") {
            val service = site.service("behind")
            val proxy = site.proxy("proxy", service.url.removePrefix("http://"))
            val url = "http://${proxy.address}/healthz"
            send("GET", url).status shouldBe 200
            proxy.faults("""{"cut": true}""")
            send("GET", url).status shouldBe 0
            proxy.faults("{}")
            send("GET", url).status shouldBe 200
        }

        test("closing the site ends every process") {
            val other = Site()
            val service = other.service("left")
            service.url
            other.close()
            service.process.isAlive shouldBe false
        }
    })
