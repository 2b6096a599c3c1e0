package io.teaselspring.daemon

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
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

        test("answers of requests that run at the same time are not exchanged") {
            withSite {
                agent(FakeUpstream().start(), maxRunning = 8, maxQueued = 100)
                agent(FakeUpstream().start(), maxRunning = 8, maxQueued = 100)
                start()
                val topics = (1..40).map { "t$it" }
                val answers =
                    coroutineScope {
                        topics
                            .map { topic ->
                                async { contentOf(chat(topic, stream = topic.last() in "02468").bodyAsText()) }
                            }.awaitAll()
                    }
                answers shouldBe topics.map { topic -> (0..4).joinToString("") { "$topic$it " } }
            }
        }

        test("no upstream sees a caller's key, while cookies pass") {
            withSite {
                val engine = FakeUpstream().start()
                val service = FakeUpstream().start()
                agent(engine)
                agent(service, plainService = true)
                start()
                chat("wool") { header("X-Api-Key", SECRET) }
                order { header("Authorization", "Bearer $SECRET") }
                (engine.seen + service.seen).forEach { seen ->
                    seen.headers.entries().joinToString() shouldNotContain SECRET
                    seen.uri shouldNotContain SECRET
                }
                service.seen.single().headers["Cookie"] shouldBe "session=1"
            }
        }

        test("requests without a valid key run only on routes that are open to all") {
            withSite {
                val service = FakeUpstream().start()
                agent(service, plainService = true)
                start()
                client.post("$url/orders") { header("X-Api-Key", "guessed") }.status.value shouldBe 401
                client.get("$url/publicity").status.value shouldBe 401
                service.seen.size shouldBe 0
                client.get("$url/public/hours").status.value shouldBe 201
            }
        }

        test("an unknown model, class or path is refused before anything runs") {
            withSite {
                val engine = FakeUpstream().start()
                agent(engine)
                start()
                val refused =
                    listOf(
                        """{"model":"other","messages":[]}""" to 404,
                        """{"model":"$MODEL","messages":[],"service_tier":"best"}""" to 400,
                        """{"model":"$MODEL"}""" to 400,
                        "[" to 400,
                        "x".repeat(2_000_000) to 413,
                    )
                refused.forEach { (body, status) ->
                    val response = chat("wool") { setBody(body) }
                    response.status.value shouldBe status
                    response.bodyAsText() shouldContain "\"ran\":\"not run\""
                }
                engine.seen.size shouldBe 0
            }
        }

        test("an engine's refusal of a bad request reaches the caller as it is") {
            withSite {
                agent(FakeUpstream().start())
                start()
                val response = chat("wool") { setBody("""{"model":"$MODEL","messages":["bad"]}""") }
                response.status.value shouldBe 400
                response.bodyAsText() shouldBe "{\"error\":\"bad\"}"
            }
        }

        test("an engine gets the tier of the class as its priority and no service tier") {
            withSite {
                val engine = FakeUpstream().start()
                agent(engine)
                start()
                chat("wool") {
                    setBody(
                        """{"model":"$MODEL","service_tier":"short","messages":[{"content":"wool"}],"priority":0}""",
                    )
                }
                engine.seen.single().body shouldContain "\"priority\":1"
                engine.seen.single().body shouldNotContain "service_tier"
            }
        }
    })
