/*
 * The plain service: counts and records executions, so that a checker can see how often each request ran.
 */
package io.teaselspring.standins.service

import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Clock

/** Older executions are dropped beyond this number; the counts per request id are kept for as many ids. */
private const val MAX_ENTRIES = 20_000

/**
 * Faults in force; each `POST /faults` replaces all of them. [delayMs] and [hang] act before the execution,
 * [crashBefore] and [crashAfter] end the process then, [cutResponse] closes the connection halfway through the body.
 */
@Serializable
internal data class ServiceFaults(
    @SerialName("delay_ms") val delayMs: Long = 0,
    val hang: Boolean = false,
    @SerialName("crash_before") val crashBefore: Boolean = false,
    @SerialName("crash_after") val crashAfter: Boolean = false,
    @SerialName("cut_response") val cutResponse: Boolean = false,
)

/** One execution of a call that is not a GET; [execution] counts those of the same request id. */
@Serializable
internal data class Execution(
    val seq: Long,
    @SerialName("received_at_ms") val receivedAtMs: Long,
    @SerialName("request_id") val requestId: String?,
    val method: String,
    val path: String,
    val headers: Map<String, String>,
    val body: String,
    val execution: Int,
)

/** The response body; [executions] counts those of the request with this id. Reads are not recorded and count 1. */
@Serializable
internal data class Executed(
    val method: String,
    val path: String,
    val executions: Int,
    @SerialName("request_id") val requestId: String?,
)

/** The record of executions; [byRequestId] counts them. */
@Serializable
internal data class ServiceJournal(
    val executions: Long,
    @SerialName("by_request_id") val byRequestId: Map<String, Int>,
    val entries: List<Execution>,
    val dropped: Long,
)

@Serializable
internal data class ServiceLoad(
    val running: Int,
    val queued: Int,
)

/** Options of a service that the interface leaves to the installation. */
internal data class ServiceSettings(
    val workMs: Long = 5,
    val maxConcurrent: Int = 16,
)

/** What one service holds; [crash] ends the process. */
internal class PlainService(
    val settings: ServiceSettings,
    private val clock: Clock,
    val crash: () -> Unit,
) {
    private val slots = Semaphore(settings.maxConcurrent)
    private val byRequestId = LinkedHashMap<String, Int>()
    private val entries = ArrayDeque<Execution>()
    private var executions = 0L
    private var recorded = 0L
    private var present = 0

    @Volatile
    var faults = ServiceFaults()

    suspend fun <T> inSlot(block: suspend () -> T): T {
        count(1)
        try {
            return slots.withPermit { block() }
        } finally {
            count(-1)
        }
    }

    @Synchronized
    private fun count(change: Int) {
        present += change
    }

    @Synchronized
    fun load(): ServiceLoad {
        val running = minOf(present, settings.maxConcurrent)
        return ServiceLoad(running, present - running)
    }

    /** Executes a call once. */
    @Synchronized
    fun execute(
        requestId: String?,
        method: String,
        path: String,
        headers: Map<String, String>,
        body: String,
    ): Executed {
        executions++
        var execution = 1
        if (method != "GET") {
            execution += byRequestId[requestId] ?: 0
            if (requestId != null) byRequestId[requestId] = execution
            if (byRequestId.size > MAX_ENTRIES) byRequestId.remove(byRequestId.keys.first())
            val atMs = clock.now().toEpochMilliseconds()
            entries += Execution(recorded++, atMs, requestId, method, path, headers, body, execution)
            if (entries.size > MAX_ENTRIES) entries.removeFirst()
        }
        return Executed(method, path, execution, requestId)
    }

    @Synchronized
    fun journal(): ServiceJournal =
        ServiceJournal(executions, byRequestId.toMap(), entries.toList(), recorded - entries.size)
}
