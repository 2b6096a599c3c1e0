/*
 * Reading of response bodies with a limit, because a faulty server may send without end.
 */
package io.teaselspring.ports

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray

/**
 * Reads the body of a response whose call was made with `execute`, so that it has not been read yet. Returns null as
 * soon as it is longer than [maxBytes].
 */
public suspend fun HttpResponse.readBody(maxBytes: Int): ByteArray? =
    bodyAsChannel().readRemaining(maxBytes + 1L).readByteArray().takeIf { it.size <= maxBytes }
