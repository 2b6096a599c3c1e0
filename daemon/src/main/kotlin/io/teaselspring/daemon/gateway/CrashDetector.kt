/*
 * Detection of instances whose process has ended. When an attempt of a request with a prompt breaks off, a new
 * connection to the instance is tried: if it is refused, nothing listens there any more, and the requests without an
 * event are those that may have crashed it. Connections are not refused after the reset of single ones, by a
 * partition, or by a machine that went dark.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.InstanceId
import io.teaselspring.core.registry.RegisteredInstance

/** The crash of [instance]; [prompts] are the shared parts of each request without an event. */
internal class InstanceCrash(
    val instance: RegisteredInstance,
    private val atMs: Long,
    val prompts: List<Set<String>>,
) {
    fun agoMs(nowMs: Long): Long = nowMs - atMs
}

/** Tries a connection to an address, "IP:port", and passes on whether it was refused. */
internal typealias ProbeConnection = (address: String, onResult: (isRefused: Boolean) -> Unit) -> Unit

/** Reports each crash once, with the requests that broke off until [probe] had its result. */
internal class CrashDetector(
    val nowMs: () -> Long,
    private val probe: ProbeConnection,
) {
    /** Called with each crash. */
    var onCrash: (InstanceCrash) -> Unit = {}
    private val suspects = HashMap<InstanceId, MutableList<Set<String>>>()

    /** A request broke off at [instance]; [sharedParts] are those of its prompt if it had no event, else empty. */
    fun attemptBrokeOff(
        instance: RegisteredInstance,
        sharedParts: Set<String>,
    ) {
        val known = suspects[instance.id]
        if (known != null) {
            known.addIfNotEmpty(sharedParts)
            return
        }
        val prompts = mutableListOf<Set<String>>()
        prompts.addIfNotEmpty(sharedParts)
        val atMs = nowMs()
        suspects[instance.id] = prompts
        probe(instance.address) { isRefused ->
            suspects.remove(instance.id)
            if (isRefused) onCrash(InstanceCrash(instance, atMs, prompts))
        }
    }
}

private fun MutableList<Set<String>>.addIfNotEmpty(sharedParts: Set<String>) {
    if (sharedParts.isNotEmpty()) add(sharedParts)
}
