/*
 * What an entry knows for the order among organisations, the early refusal and `Retry-After` of requests with a prompt:
 * of upstreams that are timed, and of all if its settings say so. It is in the memory of this entry only.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.UpstreamName
import io.teaselspring.core.placement.ReturnSlots
import io.teaselspring.core.placement.StreamPaces
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** What one entry has seen of the streams of an upstream and of the starts from its queue. */
internal class UpstreamPace {
    val streams = StreamPaces()
    val returns = ReturnSlots()
}

/** The paces of the upstreams with fair queueing: those that are timed, or all if [isAlwaysOn]. */
internal class FairQueueing(
    private val isAlwaysOn: Boolean,
    private val isTimed: (UpstreamName) -> Boolean,
) {
    private val byUpstream = HashMap<UpstreamName, UpstreamPace>()

    /** The paces that were asked for. */
    val known: Map<UpstreamName, UpstreamPace> get() = byUpstream

    /** The pace of [upstream], or null if fair queueing is off for it. */
    fun paceOf(upstream: UpstreamName): UpstreamPace? =
        if (isAlwaysOn || isTimed(upstream)) byUpstream.getOrPut(upstream) { UpstreamPace() } else null
}

/** Adds the state of the fair queues to the state page. */
internal fun JsonObjectBuilder.putFairQueues(gateway: Gateway) {
    val now = gateway.nowMs()
    putJsonObject("fair_queues") {
        gateway.fairness.known.forEach { (upstream, pace) ->
            putJsonObject(upstream.value) {
                put("ms_per_output_token", pace.streams.medianMsPerToken(now))
                putJsonArray("waiting") {
                    gateway.queues.sharesOf(upstream).forEach { share ->
                        addJsonObject {
                            put("organisation", share.organisation?.value)
                            put("priority", share.priority)
                            put("engine_tokens", share.engineTokens)
                            put("calls", share.waiting)
                            put("starts_per_second", pace.returns.startsPerSecond(share.priority, now))
                        }
                    }
                }
            }
        }
    }
}
