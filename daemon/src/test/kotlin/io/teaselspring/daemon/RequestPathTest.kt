package io.teaselspring.daemon

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.ktor.client.statement.bodyAsText
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

suspend fun withSite(
    site: Site = Site(),
    block: suspend Site.() -> Unit,
) {
    try {
        site.block()
    } finally {
        site.close()
    }
}

/** The tokens of a streamed answer. */
fun contentOf(text: String): String =
    Regex("\"content\":\"([^\"]*)\"").findAll(text).joinToString("") { it.groupValues[1] }

class RequestPathTest :
    FunSpec({
        test("a streamed chat arrives whole and in order, ended by the marker") {
            withSite {
                val engine = FakeUpstream().start()
                agent(engine)
                start()
                val response = chat("wool")
                val text = response.bodyAsText()
                response.status.value shouldBe 200
                contentOf(text) shouldBe "wool0 wool1 wool2 wool3 wool4 "
                text.trimEnd().endsWith("data: [DONE]") shouldBe true
                response.headers["X-Request-Id"] shouldBe engine.seen.single().headers["X-Request-Id"]
            }
        }

        test("a chat that is not streamed is one object made of the engine's events") {
            withSite {
                agent(FakeUpstream().start())
                start()
                val text = chat("wool", stream = false).bodyAsText()
                text shouldContain "\"content\":\"wool0 wool1 wool2 wool3 wool4 \""
                text shouldContain "\"completion_tokens\":5"
            }
        }

        test("a plain call is passed through with its status, headers and query") {
            withSite {
                val service = FakeUpstream().start()
                agent(service, plainService = true)
                start()
                // The JDK's client, because the other one reorders repeated parameters itself.
                val request =
                    HttpRequest
                        .newBuilder(URI("$url/orders?b=2&a=1&b=%2F3"))
                        .header("X-Api-Key", SECRET)
                        .POST(HttpRequest.BodyPublishers.ofString("bale"))
                        .build()
                val response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString())
                response.statusCode() shouldBe 201
                response.headers().firstValue("X-Plain").get() shouldBe "yes"
                response.body() shouldBe "{\"run\":1}"
                service.seen.single().uri shouldBe "/orders?b=2&a=1&b=%2F3"
                service.seen.single().body shouldBe "bale"
            }
        }
    })
