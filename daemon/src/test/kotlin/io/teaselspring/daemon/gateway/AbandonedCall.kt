/*
 * A program that ends while the call that it has sent is unanswered.
 */
package io.teaselspring.daemon.gateway

import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.minutes

internal const val ABANDONED_CALL_EXIT = 3

/** Sends a call to the address in the first argument, and halts without closing its connection when its input ends. */
fun main(args: Array<String>) {
    val runtime = GatewayRuntime()
    runBlocking {
        launch(runtime.dispatcher) { runtime.calls.call(args[0], "GET", "/usage", 1.minutes) }
        while (System.`in`.read() >= 0) {
            // Input only marks the end.
        }
        Runtime.getRuntime().halt(ABANDONED_CALL_EXIT)
    }
}
