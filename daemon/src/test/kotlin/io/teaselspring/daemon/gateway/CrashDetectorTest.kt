package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.registry.RegisteredInstance
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.seconds

private val instance =
    RegisteredInstance(InstanceId("e1"), GatewaySite.UPSTREAM, "127.0.0.1:1", DataCentre("oviedo"), 64, false, 1)

/** Results of probes are given by the test. */
private class Probes {
    val waiting = ArrayList<(Boolean) -> Unit>()
    val crashes = ArrayList<InstanceCrash>()
    val detector =
        CrashDetector({ 7 }, { _, onResult -> waiting += onResult }).also {
            it.onCrash =
                { crash -> crashes += crash }
        }

    fun finish(isRefused: Boolean) = waiting.removeFirst()(isRefused)
}

// Guards against a single broken connection that counts as a crash, and against a crash that counts once a request.
class CrashDetectorTest :
    FunSpec({
        test("requests that break off together at an instance that refuses connections are one crash") {
            val probes = Probes()
            listOf("a", "b").forEach { probes.detector.attemptBrokeOff(instance, setOf("s", it)) }
            probes.finish(isRefused = true)
            probes.waiting.size shouldBe 0
            probes.crashes.single().prompts shouldBe listOf(setOf("s", "a"), setOf("s", "b"))
            probes.crashes.single().agoMs(nowMs = 10) shouldBe 3
            probes.detector.attemptBrokeOff(instance, setOf("c"))
            probes.finish(isRefused = true)
            probes.crashes.last().prompts shouldBe listOf(setOf("c"))
        }

        test(
            "a request that breaks off at an instance that accepts connections is no crash",
        ) {
            val probes = Probes()
            probes.detector.attemptBrokeOff(instance, setOf("s"))
            probes.finish(isRefused = false)
            probes.crashes.size shouldBe 0
        }

        test("a crash is reported without suspects if all requests had events") {
            val probes = Probes()
            repeat(2) { probes.detector.attemptBrokeOff(instance, emptySet()) }
            probes.finish(isRefused = true)
            probes.crashes.single().prompts shouldBe emptyList()
        }

        test("a probe tells a server that listens from one that does not") {
            val runtime = GatewayRuntime()
            val listening = ScriptedUpstream { _, _ -> ConnectionAction.CLOSE }
            val gone = ScriptedUpstream { _, _ -> ConnectionAction.CLOSE }.also { it.close() }

            suspend fun isRefused(address: String): Boolean {
                val result = CompletableDeferred<Boolean>()
                withContext(runtime.dispatcher) { runtime.connections.probe(address, result::complete) }
                return withTimeout(5.seconds) { result.await() }
            }
            isRefused(listening.address) shouldBe false
            isRefused(gone.address) shouldBe true
            listening.close()
        }
    })
