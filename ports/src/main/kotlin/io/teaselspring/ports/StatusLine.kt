/*
 * Checks of a status line that the client library accepts although it is not one of HTTP. It drops leading zeros of the
 * status, so a status of four digits is not found.
 */
package io.teaselspring.ports

import io.ktor.client.statement.HttpResponse

/** RFC 9110, section 15. */
private val STATUSES = 100..599

/** Why this response has no status line of HTTP, or null. */
internal fun HttpResponse.statusProblem(): String? =
    when {
        status.value !in STATUSES -> "status ${status.value}"
        status.description.any(::isControl) -> "control character in the reason phrase"
        else -> null
    }

private fun isControl(char: Char) = char < ' ' && char != '\t' || char == '\u007f'
