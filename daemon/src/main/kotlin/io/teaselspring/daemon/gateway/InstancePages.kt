/*
 * The upstream instances on the state page of an agentless entry.
 */
package io.teaselspring.daemon.gateway

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** Puts what this entry knows of each instance. */
internal fun JsonObjectBuilder.putInstances(gateway: Gateway) {
    val nowMs = gateway.nowMs()
    putJsonArray("instances") {
        gateway.instances.all().forEach { instance ->
            add(
                buildJsonObject {
                    put("instance", instance.registered.id.value)
                    put("upstream", instance.registered.upstream.value)
                    put("address", instance.registered.address)
                    put("draining", instance.registered.isDraining)
                    put(
                        "availability",
                        instance.stated
                            .at(nowMs)
                            .name
                            .lowercase(),
                    )
                    put("own_calls", instance.load.ownRequests)
                    put("pending_prefill_tokens", instance.pendingPrefillTokens)
                    put("work_time_pct", instance.load.workTime.lastingPct)
                    put("requests_per_second_limit", instance.limit.perSecond)
                    put("warm_up_left_ms", instance.limit.coldLeftMs(nowMs))
                },
            )
        }
    }
}
