/*
 * Guards against a restart of instances between the two checks of their work time, which ended the process when no
 * registered instance of the upstream had stated one any more. In virtual time.
 */
package io.teaselspring.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.placement.parseLoadReport
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.core.registry.RegistryChange
import io.teaselspring.daemon.control.FakePlatform
import io.teaselspring.daemon.http.HttpConnections
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The instances of one upstream whose work times are checked; [asked] are the ids of those that were, in order. */
@OptIn(ExperimentalCoroutinesApi::class)
private class CheckedUpstream(
    scope: TestScope,
) : AutoCloseable {
    val asked = ArrayList<String>()
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val nowMs = { scope.currentTime }
    private val names = HeaderNames()
    private val workTimes = HashMap<String, Int>()
    private val instances =
        UpstreamInstances(
            HttpConnections(group.next() as EventLoop, nowMs),
            nowMs,
            RequestLimits(
                InstanceId("entry-1"),
                FakePlatform().platform.table,
                entryCount = { 1 },
                nowMs,
                StoreTimes({ null }, { null }),
            ),
            DataCentres(),
            rowTimeout = 3.6.seconds,
        )
    private val checks = WorkTimeChecks(instances, names, { STATUS }, { address, _ -> status(address) })

    init {
        instances.onTimedChanged = checks::instancesChanged
        scope.backgroundScope.launch { checks.run() }
    }

    /** Registers the process of the instance [id] that started at [startedAtMs], whose work takes [pct]. */
    fun start(
        id: String,
        startedAtMs: Long,
        pct: Int = 100,
    ) {
        val row =
            RegisteredInstance(
                InstanceId(id),
                GatewaySite.UPSTREAM,
                "127.0.0.1:${id.removePrefix("engine-")}",
                DataCentre("oviedo"),
                slots = 64,
                isDraining = false,
                startedAtMs,
            )
        workTimes[row.address] = pct
        change(id, row)
    }

    fun stop(id: String) = change(id, null)

    /** The instance [id] states its work time in a response to a request. */
    fun respond(id: String) {
        val instance = instances.all().first { it.registered.id.value == id }
        instance.load.record(
            checkNotNull(parseLoadReport("0,0,64,${workTimes[instance.registered.address]}")),
            nowMs(),
        )
        checks.instancesChanged()
    }

    private fun change(
        id: String,
        row: RegisteredInstance?,
    ) {
        val before = instances.all().firstOrNull { it.registered.id.value == id }?.registered
        instances.apply(listOf(RegistryChange(InstanceId(id), before, row)))
    }

    private fun status(address: String): HttpCallResponse {
        val id = "engine-${address.substringAfter(':')}"
        asked += id
        val fields = DefaultHttpHeaders().add(names.instanceId, id).add(names.load, "0,0,64,${workTimes[address]}")
        return HttpCallResponse(200, ByteArray(0), fields)
    }

    override fun close() {
        group.shutdownGracefully()
    }
}

private fun withUpstream(block: suspend CheckedUpstream.() -> Unit) =
    runTest {
        CheckedUpstream(this).use { it.block() }
    }

class WorkTimeChecksTest :
    FunSpec({
        test("the only instance restarts between its checks: the checks go on with the new process") {
            withUpstream {
                start("engine-1", startedAtMs = 1)
                respond("engine-1")
                delay(500.milliseconds)
                start("engine-1", startedAtMs = 2)
                delay(1.seconds)
                asked shouldContainExactly listOf("engine-1")
                respond("engine-1")
                delay(100.milliseconds)
                asked shouldContainExactly listOf("engine-1", "engine-1")
            }
        }

        test("all instances are removed between their checks: later ones are checked") {
            withUpstream {
                listOf("engine-1", "engine-2").forEach { start(it, startedAtMs = 1) }
                respond("engine-1")
                delay(500.milliseconds)
                listOf("engine-1", "engine-2").forEach(::stop)
                delay(1.seconds)
                start("engine-3", startedAtMs = 2)
                respond("engine-3")
                delay(100.milliseconds)
                asked shouldContainExactlyInAnyOrder listOf("engine-1", "engine-2", "engine-3")
            }
        }

        test("only instances that are slower than most, and still registered, are checked once more") {
            withUpstream {
                (1..4).forEach { start("engine-$it", startedAtMs = 1) }
                listOf("engine-5", "engine-6").forEach { start(it, startedAtMs = 1, pct = 300) }
                respond("engine-1")
                delay(500.milliseconds)
                asked shouldContainExactlyInAnyOrder (1..6).map { "engine-$it" }
                stop("engine-5")
                delay(1.seconds)
                asked.drop(6) shouldContainExactly listOf("engine-6")
            }
        }
    })
