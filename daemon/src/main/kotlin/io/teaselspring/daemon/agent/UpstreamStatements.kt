/*
 * What the upstream of an agent says of itself in its responses: that it is leaving, or that it wants no requests for a
 * while. A response speaks for the process that was there when its request was sent, so a late one of an earlier
 * process says nothing of a new one. Another process is taken to be there once a health check's connection was refused,
 * or once a health response no longer says leaving after one that did: a process that leaves says so in all of them.
 */
package io.teaselspring.daemon.agent

import io.teaselspring.protocol.Header
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext

private const val MISDIRECTED = 421
private const val UNAVAILABLE = 503

/** Takes the status and the headers of the response to one request, once. */
internal typealias ResponseListener = suspend (status: Int, headers: List<Header>) -> Unit

/** Passes what responses say to the agent's loop by [send]. A response with [leavingHeader] says leaving. */
internal class UpstreamStatements(
    private val leavingHeader: String = "X-Leaving",
    private val send: suspend (AgentEvent) -> Unit = {},
) {
    @Volatile
    private var process = 0
    private var hasHealthSaidLeaving = false

    /** The latest process that has said that it is leaving. */
    @Volatile
    private var leavingProcess = -1

    /** Whether a request that was started earlier may still be sent: a process that leaves may not read it any more. */
    fun maySend(): Boolean = leavingProcess != process

    /** The listener for the response to a request that is about to be sent. */
    fun forRequest(): ResponseListener =
        process.let { sentTo ->
            { status, headers -> if (status != MISDIRECTED) record(sentTo, status, headers) }
        }

    /** As [forRequest], for a health check. Health checks must not overlap. */
    fun forHealthCheck(): ResponseListener {
        val listener = forRequest()
        return { status, headers ->
            val saysLeaving = headers.any { it.name.equals(leavingHeader, ignoreCase = true) }
            if (status != MISDIRECTED) {
                if (hasHealthSaidLeaving && !saysLeaving) processReplaced()
                hasHealthSaidLeaving = saysLeaving
            }
            listener(status, headers)
        }
    }

    /** Another process is at the upstream's address, or none. */
    suspend fun processReplaced() {
        hasHealthSaidLeaving = false
        process += 1
        pass(AgentEvent.UpstreamStated(process, isLeaving = false, emptyList()))
    }

    private suspend fun record(
        sentTo: Int,
        status: Int,
        headers: List<Header>,
    ) {
        val isLeaving = headers.any { it.name.equals(leavingHeader, ignoreCase = true) }
        if (isLeaving && sentTo > leavingProcess) leavingProcess = sentTo
        val retryAfter =
            headers
                .filter {
                    status == UNAVAILABLE &&
                        it.name.equals(
                            "Retry-After",
                            ignoreCase = true,
                        )
                }.map { it.value }
        if (isLeaving || retryAfter.isNotEmpty()) pass(AgentEvent.UpstreamStated(sentTo, isLeaving, retryAfter))
    }

    // A caller that leaves cancels its run, but what the response has said still holds.
    private suspend fun pass(event: AgentEvent) = withContext(NonCancellable) { send(event) }
}
