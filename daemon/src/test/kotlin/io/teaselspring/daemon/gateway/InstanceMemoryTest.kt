/*
 * Guards against an engine whose memory stays unknown after one failed read, and against a read for each request.
 */
package io.teaselspring.daemon.gateway

import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.limit.ArrivalRate
import io.teaselspring.core.limit.InstanceLimit
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.daemon.http.HttpConnections
import io.teaselspring.ports.PlatformError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers

class InstanceMemoryTest :
    FunSpec({
        test("the memory of an engine is read again after a failure, but not at once, and not after a success") {
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            var nowMs = 0L
            val registered =
                RegisteredInstance(
                    InstanceId("engine-1"),
                    UpstreamName("narradores"),
                    "127.0.0.1:1",
                    DataCentre("oviedo"),
                    slots = 64,
                    isDraining = false,
                    startedAtMs = 1,
                )
            val connections = HttpConnections(group.next() as EventLoop, nowMs = { nowMs })
            val limit = InstanceLimit("entry-1", ArrivalRate(), instances = { 1 }, entries = { 1 })
            val instance = UpstreamInstance(registered, connections.server(registered.address), limit)
            val answers =
                ArrayDeque(
                    listOf(PlatformError.Unavailable("engine-report", "engine-1", "silent").left(), 90_000L.right()),
                )
            val scope = CoroutineScope(Dispatchers.Unconfined)
            val memory = InstanceMemory(scope, { nowMs }, readMemory = { _, _ -> answers.removeFirst() })

            memory.read(instance)
            nowMs = 1_999
            memory.read(instance)
            instance.memoryTokens shouldBe null
            nowMs = 2_000
            memory.read(instance)
            instance.memoryTokens shouldBe 90_000
            answers.size shouldBe 0
            group.shutdownGracefully()
        }
    })
