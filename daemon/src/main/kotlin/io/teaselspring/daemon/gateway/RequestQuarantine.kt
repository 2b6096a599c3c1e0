/*
 * Refusal of requests whose prompt contains quarantined parts, and what an entry learns for the quarantine from its own
 * requests.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.InstanceId
import io.teaselspring.core.quarantine.PartQuarantine
import io.teaselspring.core.registry.RegisteredInstance
import io.teaselspring.ports.TableStore
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

/** The refusal of a request for [reason], which ends after [retryAfter] if that is known. */
internal class QuarantineRefusal(
    val reason: String,
    val retryAfter: Duration?,
)

/**
 * The quarantine of the entry [instance], whose reports are exchanged through [table] if it [isShared]. While
 * [storeNowMs] is unknown, nothing is recorded; no request is served before it is known.
 */
internal class RequestQuarantine(
    instance: InstanceId,
    table: TableStore,
    private val isShared: Boolean,
    private val metrics: GatewayMetrics,
    private val storeNowMs: () -> Long?,
    private val detector: CrashDetector,
) {
    init {
        detector.onCrash = ::recordCrash
    }

    private val parts = PartQuarantine(instance.value)

    /** The exchange of reports with the other entries. */
    val reports = CrashReports(instance, table, parts, storeNowMs)

    /** The quarantined sets of parts. */
    val quarantined: Set<Set<String>> get() = parts.quarantined

    /** Why a request with [sharedParts] is refused, and until when if that is known; null if it may be sent. */
    fun refusalOf(sharedParts: Set<String>): QuarantineRefusal? {
        if (sharedParts.isEmpty()) return null
        val remainingMs = storeNowMs()?.let { parts.refusedForMs(sharedParts, it) }
        return when {
            remainingMs != null -> QuarantineRefusal("prompt part in quarantine", remainingMs.milliseconds)
            // Other entries may have found a part to crash instances.
            isShared && !reports.isLoaded -> QuarantineRefusal("quarantine not read yet", retryAfter = null)
            else -> null
        }
    }

    /** Whether a repeat of a request with [sharedParts] may crash another instance. */
    fun isSuspected(sharedParts: Set<String>): Boolean = parts.isSuspected(sharedParts)

    /** A request broke off at [instance]; [sharedParts] are those of its prompt if it had no event, else empty. */
    fun attemptBrokeOff(
        instance: RegisteredInstance,
        sharedParts: Set<String>,
    ) = detector.attemptBrokeOff(instance, sharedParts)

    private fun recordCrash(crash: InstanceCrash) {
        metrics.instanceCrashed(crash.instance.upstream.value)
        log.warn(
            "event=instance_crashed instance={} upstream={} address={} requests_without_event={} shared_parts={}",
            crash.instance.id,
            crash.instance.upstream,
            crash.instance.address,
            crash.prompts.size,
            crash.prompts,
        )
        change { parts.recordCrash(crash.instance.id, crash.prompts, it - crash.agoMs(detector.nowMs())) }
    }

    /** Records that a response to a request with [sharedParts] has begun. */
    fun recordResponse(sharedParts: Set<String>) {
        if (sharedParts.isNotEmpty()) change { parts.recordResponse(sharedParts, it) }
    }

    /** Drops evidence that is too old. */
    fun expire() = change { parts.expire(it) }

    private inline fun change(action: (nowMs: Long) -> Unit) {
        val before = parts.quarantined
        action(storeNowMs() ?: return)
        reports.quarantineChanged(before)
    }
}
