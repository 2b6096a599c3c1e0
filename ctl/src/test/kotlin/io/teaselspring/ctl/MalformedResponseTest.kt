package io.teaselspring.ctl

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

/** The exit code of the program against a daemon that answers its one call with [head] and the body "{}". */
private fun exitCodeAfter(head: String): Int =
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { listener ->
        thread(isDaemon = true) {
            runCatching {
                listener.accept().use {
                    it.getInputStream().read(ByteArray(4096))
                    it.getOutputStream().write("$head\r\n\r\n{}".toByteArray(Charsets.ISO_8859_1))
                }
            }
        }
        runProgram(listOf("--daemon", "http://127.0.0.1:${listener.localPort}", "org", "list"))
    }

// Guards against a response whose head is not one of HTTP and that counts as the daemon's success or refusal.
class MalformedResponseTest :
    FunSpec({
        test("a response whose head is not one of HTTP does not come from the daemon") {
            val statuses = listOf("000", "099 Low", "20 OK", "2000 OK", "600 High", "999 High", "+200 OK", "2e2 OK", "")
            val fields = listOf("X-Tra : v", " X-Tra: v", "X\u0001Tra: v", "Content-Length : 2")
            val heads =
                statuses.map { "HTTP/1.1 $it\r\nContent-Length: 2" } +
                    fields.map { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n$it" }
            heads.forEach { withClue(it) { exitCodeAfter(it) shouldBe 4 } }
        }

        // KNOWN-RED.txt: run with -Dknown.red=true.
        val isKnownRedRun = System.getProperty("known.red") == "true"
        listOf("0200 OK", "0503 Full", "4294967496 OK").forEach { status ->
            test("a response with the status \"$status\" does not come from the daemon").config(
                enabledIf = { isKnownRedRun },
            ) {
                exitCodeAfter("HTTP/1.1 $status\r\nContent-Length: 2") shouldBe 4
            }
        }
    })
