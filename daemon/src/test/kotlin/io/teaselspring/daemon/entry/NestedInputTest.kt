/*
 * Guards against JSON that is nested so deeply that a recursive function runs out of stack: a caller, an engine or an
 * operator could end a process with it.
 */
package io.teaselspring.daemon.entry

import arrow.core.Either
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.teaselspring.core.config.parseDocument
import io.teaselspring.daemon.FakeUpstream
import io.teaselspring.daemon.withSite

private const val DEPTH = 100_000

/** Values of which each ends a recursive parser or a recursive function on its result. */
private val nested =
    listOf(
        "[".repeat(DEPTH) + "]".repeat(DEPTH),
        "{\"a\":".repeat(DEPTH) + "1" + "}".repeat(DEPTH),
        "{\"a\":[".repeat(DEPTH) + "]}".repeat(DEPTH),
    )

private fun chatOf(value: String) = """{"model":"m","messages":[],"tools":$value}"""

class NestedInputTest :
    FunSpec({
        test("a chat request that is nested too deeply is refused as invalid, and a usual depth is not") {
            (nested + nested.map(::chatOf)).forEach { body ->
                val result = runCatching { parseChatRequest(body.encodeToByteArray()).map { it.engineBody(1) } }
                withClue(body.take(60)) { result.map { it.isLeft() } shouldBe Result.success(true) }
            }
            val usual = chatOf("{\"a\":[".repeat(20) + "]}".repeat(20))
            parseChatRequest(usual.encodeToByteArray()).isRight() shouldBe true
        }

        test("an entry refuses a chat request that is nested too deeply with 400, and serves the next one") {
            withSite {
                agent(FakeUpstream().start())
                start()
                (nested + nested.map(::chatOf)).forEach { body ->
                    chat("wool") { setBody(body) }.status.value shouldBe 400
                }
                chat("wool").bodyAsText() shouldContain "wool4"
            }
        }

        test("an event that is nested too deeply is no event, in place of an error that ends the process") {
            nested.forEach { value ->
                val delta = """{"choices":[{"index":0,"delta":$value}]}"""
                listOf(value, """{"choices":$value}""", delta).forEach { event ->
                    val result =
                        runCatching {
                            ChatCompletionBuilder().run {
                                add(event.encodeToByteArray())
                                add(event.encodeToByteArray())
                                build().toString()
                            }
                        }
                    withClue(event.take(60)) { (result.exceptionOrNull() is StackOverflowError) shouldBe false }
                }
            }
        }

        test("a document of an operator that is nested too deeply is a problem of the document") {
            nested.forEach { value ->
                val result = runCatching { parseDocument("base", "{\"a\":$value}") }
                withClue(value.take(60)) { result.map { it is Either.Left } shouldBe Result.success(true) }
            }
        }
    })
