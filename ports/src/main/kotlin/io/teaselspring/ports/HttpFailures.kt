/*
 * Classification of HTTP client exceptions: connect failures, after which the platform cannot have received the
 * request, and timeouts.
 */
package io.teaselspring.ports

import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpRequestTimeoutException
import kotlinx.coroutines.TimeoutCancellationException
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.nio.channels.UnresolvedAddressException

/** True if no connection was established, so that the request cannot have been applied. */
internal fun Throwable.isConnectFailure(): Boolean =
    generateSequence(this) { it.cause }.take(MAX_CAUSES).any {
        it is ConnectException ||
            it is ConnectTimeoutException ||
            it is NoRouteToHostException ||
            it is UnresolvedAddressException
    }

/** True if the call timed out, false if the calling coroutine was cancelled. */
internal fun Throwable.isTimeout(): Boolean =
    generateSequence(this) { it.cause }.take(MAX_CAUSES).any {
        it is HttpRequestTimeoutException || it is TimeoutCancellationException
    }

// Bounds the walk, because a chain of causes may be cyclic.
private const val MAX_CAUSES = 10
