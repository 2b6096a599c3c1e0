/*
 * Requests that wait because the limits of all instances that may take them permit no request now: those without a
 * prompt, and retries, which have no place in the queue for prompts. A permit goes to the most urgent request; within a
 * priority, to the one that arrived first.
 */
package io.teaselspring.daemon.gateway

import io.netty.channel.EventLoop
import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.PromptPart
import java.util.concurrent.TimeUnit

/** A request that waits for a permit at an instance of [upstream] until [refuseAfterMs]. */
internal class PermitRequest(
    val upstream: UpstreamName,
    val priority: Int,
    val arrivedMs: Long,
    val refuseAfterMs: Long,
    val prompt: List<PromptPart>,
    val choose: () -> UpstreamInstance?,
    val waiting: WaitingRequest,
)

/** The waiting requests for all upstreams. */
internal class PermitQueue(
    private val loop: EventLoop,
    private val nowMs: () -> Long,
) {
    private val requests = ArrayList<PermitRequest>()
    private var isScheduled = false

    /** Number of waiting requests. */
    val size: Int get() = requests.size

    /** Whether a request for [upstream] that is as urgent as [priority] or more so is waiting. */
    fun hasMoreUrgent(
        upstream: UpstreamName,
        priority: Int,
    ): Boolean = requests.any { it.upstream == upstream && it.priority <= priority }

    /** Number of waiting requests for [upstream] that are as urgent as [priority] or more so. */
    fun sizeFor(
        upstream: UpstreamName,
        priority: Int,
    ): Int = requests.count { it.upstream == upstream && it.priority <= priority }

    fun add(request: PermitRequest) {
        requests += request
        schedule()
    }

    fun remove(waiting: WaitingRequest) {
        requests.removeAll { it.waiting === waiting }
    }

    private fun dispatch() {
        val now = nowMs()
        for (request in requests.sortedWith(compareBy({ it.priority }, { it.arrivedMs }))) {
            // A request that was started may have ended others, for instance by closing its caller's connection.
            if (request !in requests) continue
            val instance = request.choose()
            if (instance == null && now < request.refuseAfterMs) continue
            requests -= request
            if (instance == null) {
                request.waiting.onQueueTimeout()
            } else {
                val uncached = instance.prefixCache.uncachedTokens(request.prompt, isPreferred = false)
                request.waiting.onDispatched(instance, uncached)
            }
        }
        if (requests.isNotEmpty()) schedule()
    }

    private fun schedule() {
        if (isScheduled) return
        isScheduled = true
        loop.schedule(
            {
                isScheduled = false
                dispatch()
            },
            DISPATCH_INTERVAL_MS,
            TimeUnit.MILLISECONDS,
        )
    }

    private companion object {
        const val DISPATCH_INTERVAL_MS = 20L
    }
}
