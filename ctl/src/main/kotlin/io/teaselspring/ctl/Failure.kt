/*
 * How a command fails: a message for the operator and a documented exit code.
 */
package io.teaselspring.ctl

import com.github.ajalt.clikt.core.CliktError

/** Exit codes of the program. */
enum class ExitCode(
    val code: Int,
    val meaning: String,
) {
    DONE(0, "done"),
    REFUSED(1, "refused by the daemon"),
    INVALID_INPUT(2, "invalid input"),
    CONFLICT(3, "another change came first"),
    DAEMON_UNREACHABLE(4, "daemon unreachable"),
    STORE_UNAVAILABLE(5, "store unavailable"),
}

/** Ends the program with [exitCode] after printing [text] to standard error. */
fun fail(
    exitCode: ExitCode,
    text: String,
): Nothing = throw CliktError(text, statusCode = exitCode.code)
