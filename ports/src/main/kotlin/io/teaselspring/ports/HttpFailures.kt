/*
 * Classification of client exceptions by whether any byte of the request can have reached the platform.
 */
package io.teaselspring.ports

import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpRequestTimeoutException
import kotlinx.coroutines.TimeoutCancellationException
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.nio.channels.UnresolvedAddressException

/** True if the connection was never made, so that the request cannot have been applied. */
internal fun Throwable.isBeforeSending(): Boolean =
    generateSequence(this) { it.cause }.take(MAX_CAUSES).any {
        it is ConnectException ||
            it is ConnectTimeoutException ||
            it is NoRouteToHostException ||
            it is UnresolvedAddressException
    }

/** True if the call itself timed out, as opposed to the caller being cancelled. */
internal fun Throwable.isTimeout(): Boolean =
    generateSequence(this) { it.cause }.take(MAX_CAUSES).any {
        it is HttpRequestTimeoutException || it is TimeoutCancellationException
    }

// Exceptions may refer to each other in a cycle.
private const val MAX_CAUSES = 10
