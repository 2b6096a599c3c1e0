/*
 * Detection of instances whose process has ended. When an attempt breaks off before its first event, a new connection
 * to the instance is tried: if it is refused, nothing listens there any more, and the requests without an event are
 * those that may have crashed it. Connections are not refused after the reset of single ones, by a partition, or by a
 * machine that went dark.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.InstanceId
import io.teaselspring.core.registry.RegisteredInstance

/** The crash of [instance] at [atMs], monotonic; [prompts] are the shared parts of each request without an event. */
internal class InstanceCrash(
    val instance: RegisteredInstance,
    val atMs: Long,
    val prompts: List<Set<String>>,
)

/** Tries a connection to an address, "IP:port", and passes on whether it was refused. */
internal typealias ProbeConnection = (address: String, onResult: (isRefused: Boolean) -> Unit) -> Unit

/** Reports each crash to [onCrash] once, with the requests that broke off until [probe] had its result. */
internal class CrashDetector(
    private val nowMs: () -> Long,
    private val probe: ProbeConnection,
    private val onCrash: (InstanceCrash) -> Unit,
) {
    private val suspects = HashMap<InstanceId, MutableList<Set<String>>>()

    /** A request with these [sharedParts] broke off at [instance] before its first event. */
    fun attemptBrokeOff(
        instance: RegisteredInstance,
        sharedParts: Set<String>,
    ) {
        if (sharedParts.isEmpty()) return
        val known = suspects[instance.id]
        if (known != null) {
            known.add(sharedParts)
            return
        }
        val prompts = mutableListOf(sharedParts)
        val atMs = nowMs()
        suspects[instance.id] = prompts
        probe(instance.address) { isRefused ->
            suspects.remove(instance.id)
            if (isRefused) onCrash(InstanceCrash(instance, atMs, prompts))
        }
    }
}
