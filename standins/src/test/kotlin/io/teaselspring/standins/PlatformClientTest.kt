package io.teaselspring.standins

import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.post
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.teaselspring.ports.ABSENT
import io.teaselspring.ports.HttpPlatform
import io.teaselspring.ports.HttpPlatformSettings
import io.teaselspring.ports.PlatformError
import io.teaselspring.ports.Row
import io.teaselspring.ports.RowPage
import io.teaselspring.ports.ScaleOrder
import io.teaselspring.ports.TableWrite
import io.teaselspring.ports.UsageReport
import io.teaselspring.ports.httpPlatform
import io.teaselspring.standins.platform.PlatformSettings
import io.teaselspring.standins.platform.PlatformState
import io.teaselspring.standins.platform.platform
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Clock
import kotlin.time.TimeSource

// Guards against a stand-in and a client that read the interface page differently.
class PlatformClientTest :
    FunSpec({
        val http = HttpClient(CIO)
        lateinit var server: RunningServer
        lateinit var client: HttpPlatform

        beforeTest {
            val settings = PlatformSettings(checksEpoch = setOf("narradores"), lagMs = 0)
            val state = PlatformState(settings, Clock.System, TimeSource.Monotonic)
            server = startServer("127.0.0.1", 0) { platform(state) }
            client = httpPlatform(HttpPlatformSettings("http://127.0.0.1:${server.port}"))
        }
        afterTest {
            client.close()
            server.stop()
        }
        afterSpec { http.close() }

        test("a write whose response is lost is ambiguous to the client, is sent once and has taken effect") {
            http.post("http://127.0.0.1:${server.port}/faults") { setBody("""{"lose_responses": 1}""") }
            val table = client.platform.table
            table.put("t", "lease/orders", JsonPrimitive(1), ABSENT).leftOrNull().shouldBeInstanceOf<
                PlatformError.Ambiguous,
            >()
            table.get("t", "lease/orders") shouldBe Row("lease/orders", 1, JsonPrimitive(1)).right()
            table.put("t", "lease/orders", JsonPrimitive(2), ABSENT).leftOrNull().shouldBeInstanceOf<
                PlatformError.Conflict,
            >()
        }

        test("transactions and scans agree on versions, deletion and order") {
            val table = client.platform.table
            val value = JsonPrimitive("ñ")
            table.transaction(
                listOf(TableWrite("t", "a/2", ABSENT, value), TableWrite("t", "a/1 +&", null, value)),
            ) shouldBe listOf(1L, 1L).right()
            table.scan("t", "a/", limit = 1) shouldBe RowPage(listOf(Row("a/1 +&", 1, value)), more = true).right()
            table.scan("t", "a/", after = "a/1 +&") shouldBe RowPage(listOf(Row("a/2", 1, value))).right()
            table.transaction(listOf(TableWrite("t", "a/2", 1, null))) shouldBe listOf(0L).right()
            table.get("t", "a/2") shouldBe null.right()
        }

        test("objects, orders, usage reports and instances pass") {
            val platform = client.platform
            platform.objects.put("config/snapshot/50", byteArrayOf(0, -1)) shouldBe Unit.right()
            platform.objects
                .get("config/snapshot/50")
                .getOrNull()
                ?.toList() shouldBe listOf<Byte>(0, -1)
            platform.orders.send(ScaleOrder("oviedo", "narradores", 3, 1, 2, "e1")) shouldBe Unit.right()
            platform.orders
                .send(ScaleOrder("oviedo", "narradores", 2, 1, 2, "e2"))
                .leftOrNull()
                .shouldBeInstanceOf<PlatformError.Conflict>()
            platform.usage.report(UsageReport("w1", 1, "e1", JsonObject(emptyMap()))) shouldBe Unit.right()
            http.put("http://127.0.0.1:${server.port}/instances/i1") {
                setBody(
                    """{"role": "entry", "data_centre": "oviedo", "internal_address": "127.0.0.1:1",
                        "operator_address": "127.0.0.1:2"}""",
                )
            }
            platform.instances
                .instances()
                .getOrNull()
                ?.map { it.instance } shouldBe listOf("i1")
        }

        // Guards against a client that keeps an old list because its entity tag still matches.
        test("the list of instances is the same when unchanged and new after each change") {
            suspend fun names() =
                client.platform.instances
                    .instances()
                    .getOrNull()
                    ?.map { it.instance }
            names() shouldBe emptyList()
            listOf("i1", "i2").forEach { name ->
                http.put("http://127.0.0.1:${server.port}/instances/$name") {
                    setBody(
                        """{"role": "entry", "data_centre": "oviedo", "internal_address": "127.0.0.1:1",
                            "operator_address": "127.0.0.1:2"}""",
                    )
                }
                names()?.last() shouldBe name
                names()?.last() shouldBe name
            }
        }
    })
