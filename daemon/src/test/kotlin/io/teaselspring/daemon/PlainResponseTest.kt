/*
 * Guards against a plain response that the upstream cuts off reaching the caller as a whole one (invariant I8), and
 * checks what else the client for plain calls must keep to.
 */
package io.teaselspring.daemon

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.io.IOException
import java.io.InputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

private const val CHUNKED = "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n"

/** Sends an order with the JDK's client, which fails when a response ends early. */
private suspend fun Site.send(method: String = "POST"): HttpResponse<InputStream> =
    withContext(Dispatchers.IO) {
        val request =
            HttpRequest
                .newBuilder(URI("$url/orders"))
                .header("X-Api-Key", SECRET)
                .header("X-Farm", "a, b")
                .method(method, HttpRequest.BodyPublishers.ofString("bale"))
                .build()
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofInputStream())
    }

private suspend fun withUpstream(
    upstream: RawUpstream,
    block: suspend Site.() -> Unit,
) = upstream.use {
    withSite {
        agent(upstream.url, plainService = true)
        start()
        block()
    }
}

/** The upstream cuts its answer before the caller has seen anything of it, or after the first bytes arrived. */
private suspend fun checkTruncated(
    start: String,
    rest: String = "",
) {
    val atOnce = RawUpstream(start, rest).apply { gate.complete(Unit) }
    withUpstream(atOnce) {
        val answer = runCatching { send().let { it.statusCode() to it.body().readAllBytes().decodeToString() } }
        val isWhole = answer.getOrNull()?.first == 201
        if (isWhole) throw AssertionError("a truncated answer arrived as $answer")
    }
    val later = RawUpstream(start, rest)
    withUpstream(later) {
        val response = send()
        response.statusCode() shouldBe 201
        withContext(Dispatchers.IO) {
            response.body().readNBytes(5).decodeToString() shouldBe "whole"
            later.gate.complete(Unit)
            shouldThrow<IOException> { response.body().readAllBytes() }
        }
    }
}

class PlainResponseTest :
    FunSpec({
        test("a chunked answer without its last chunk does not end as a whole answer") {
            checkTruncated("${CHUNKED}5\r\nwhole\r\n")
        }

        test("a chunked answer cut within a chunk does not end as a whole answer") {
            checkTruncated("${CHUNKED}5\r\nwhole\r\n", "9\r\npart")
        }

        test("an answer shorter than its declared length does not end as a whole answer") {
            checkTruncated("HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\nwhole")
        }

        test("a chunked answer with its last chunk is passed on whole") {
            val upstream = RawUpstream("${CHUNKED}5\r\nwhole\r\n", "0\r\n\r\n").apply { gate.complete(Unit) }
            withUpstream(upstream) {
                val response = send()
                response.statusCode() shouldBe 201
                response.body().readAllBytes().decodeToString() shouldBe "whole"
                upstream.heads.value.single() shouldContain "X-Farm: a, b"
            }
        }

        test("a plain call is not repeated when the upstream refuses it for now") {
            val refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n"
            val upstream = RawUpstream(refusal).apply { gate.complete(Unit) }
            withUpstream(upstream) {
                send("GET").statusCode() shouldBe 503
                upstream.heads.value.size shouldBe 1
            }
        }

        test("the connection to the upstream closes when the caller of an idempotent call leaves before the answer") {
            val upstream = RawUpstream("")
            withUpstream(upstream) {
                leaveDuring(upstream, "GET")
                eventually { upstream.closedEarly.value shouldBe 1 }
            }
        }

        test("the connection to the upstream closes when the caller of an idempotent call leaves during the answer") {
            val upstream = RawUpstream("${CHUNKED}5\r\nwhole\r\n")
            withUpstream(upstream) {
                val response = send("GET")
                withContext(Dispatchers.IO) { response.body().use { it.readNBytes(5) } }
                eventually { upstream.closedEarly.value shouldBe 1 }
            }
        }
    })

/** Leaves once the upstream has the request. */
private suspend fun Site.leaveDuring(
    upstream: RawUpstream,
    method: String,
) = rawCall("$method /orders HTTP/1.1", "").use { eventually { upstream.heads.value.size shouldBe 1 } }
