/*
 * Guards against requests to an instance that has said it is leaving only in a response to a call of the entry itself,
 * and against such a statement of another process at its address.
 */
package io.teaselspring.daemon.gateway

import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.teaselspring.core.DataCentre
import io.teaselspring.core.InstanceId
import io.teaselspring.core.limit.ArrivalRate
import io.teaselspring.core.limit.InstanceLimit
import io.teaselspring.core.registry.Availability
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.daemon.eventually
import io.teaselspring.daemon.http.HttpConnections
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers

/** The instance [id], which states its work time in all responses, and [inStatus] in those to status checks. */
private fun timed(
    id: String,
    inStatus: String = "",
) = ScriptedUpstream { request, output ->
    val isStatus = STATUS in request.line
    val extra = "X-Instance-Id: $id\r\nX-Load: 0,0,64,100\r\n"
    output.respond(request, extra = if (isStatus) extra + inStatus else extra)
    ConnectionAction.KEEP
}

private fun ScriptedUpstream.count(isStatus: Boolean) = requests.value.count { (STATUS in it.line) == isStatus }

/** What the instance "engine-1" is taken to have said in a response to a read of its memory. */
private fun availabilityAfter(
    status: Int,
    vararg headers: Pair<String, String>,
): Availability {
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val row =
        RegisteredInstance(
            InstanceId("engine-1"),
            GatewaySite.UPSTREAM,
            "127.0.0.1:1",
            DataCentre("oviedo"),
            slots = 64,
            isDraining = false,
            startedAtMs = 1,
        )
    val connections = HttpConnections(group.next() as EventLoop, nowMs = { 0 })
    val limit = InstanceLimit("entry-1", ArrivalRate(), instances = { 1 }, entries = { 1 })
    val instance = UpstreamInstance(row, connections.server(row.address), limit)
    val fields = DefaultHttpHeaders().apply { headers.forEach { (name, value) -> add(name, value) } }
    val readMemory: ReadMemory = { _, onResponse ->
        onResponse(HttpCallResponse(status, ByteArray(0), fields))
        90_000L.right()
    }
    val scope = CoroutineScope(Dispatchers.Unconfined)
    InstanceMemory(scope, { 0 }, readMemory) { recordOwnCall(it, HeaderNames()) }.read(instance)
    group.shutdownGracefully()
    return instance.stated.at(0)
}

class OwnCallStatementsTest :
    FunSpec({
        test("an instance that says it is leaving only in responses to status checks gets no later request") {
            val checked = timed("engine-1", "X-Leaving: 1\r\n")
            withGateway(timed("engine-0"), checked) {
                call(PLAIN)
                eventually {
                    val before = checked.count(isStatus = false)
                    repeat(20) { call(PLAIN) }
                    checked.count(isStatus = true) shouldBeGreaterThan 0
                    checked.count(isStatus = false) shouldBe before
                }
            }
        }

        test("a response to a read of memory says leaving, unless another process gave it") {
            val leaving = "X-Leaving" to "1"
            availabilityAfter(200) shouldBe Availability.OPEN
            availabilityAfter(200, leaving) shouldBe Availability.LEAVING
            availabilityAfter(503, leaving) shouldBe Availability.LEAVING
            availabilityAfter(200, leaving, "X-Instance-Id" to "engine-1") shouldBe Availability.LEAVING
            availabilityAfter(200, leaving, "X-Instance-Id" to "engine-9") shouldBe Availability.OPEN
            availabilityAfter(421, leaving) shouldBe Availability.OPEN
        }
    })
