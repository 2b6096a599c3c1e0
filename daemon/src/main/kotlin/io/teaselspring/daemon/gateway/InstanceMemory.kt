/*
 * Memory of model engines. It does not change while an engine runs, so each entry reads it once, when it sends its
 * first request there.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.daemon.launchOnce
import io.teaselspring.ports.describe
import kotlinx.coroutines.CoroutineScope
import org.slf4j.LoggerFactory
import java.util.WeakHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/**
 * Reads the memory of instances with [readMemory] in [scope] and passes each response to [onResponse]; after a failure
 * not again before [retryInterval].
 */
internal class InstanceMemory(
    private val scope: CoroutineScope,
    private val nowMs: () -> Long,
    private val readMemory: ReadMemory?,
    private val retryInterval: Duration = 2.seconds,
    private val onResponse: UpstreamInstance.(HttpCallResponse) -> Unit = {},
) {
    private val askedAtMs = WeakHashMap<UpstreamInstance, Long>()

    /** Sets the memory of [instance] when it answers. */
    fun read(instance: UpstreamInstance) {
        val readMemory = readMemory ?: return
        val now = nowMs()
        if (now - (askedAtMs[instance] ?: Long.MIN_VALUE / 2) < retryInterval.inWholeMilliseconds) return
        askedAtMs[instance] = now
        scope.launchOnce("instance_memory") {
            readMemory(instance.registered.address) { instance.onResponse(it) }.fold(
                { log.info("event=memory_unknown instance={} {}", instance.registered.id, it.describe()) },
                { instance.memoryTokens = it },
            )
        }
    }
}
