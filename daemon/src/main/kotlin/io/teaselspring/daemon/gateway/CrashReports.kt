/*
 * Exchange of crash reports between entries through the store: one row for each entry, written after a crash and when a
 * response clears a part that is suspected. Each entry follows the rows of all. An entry that starts reads
 * them before it sends a request with a prompt.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.InstanceId
import io.teaselspring.core.quarantine.CrashReport
import io.teaselspring.core.quarantine.CrashedRequest
import io.teaselspring.core.quarantine.PartQuarantine
import io.teaselspring.ports.TableStore
import io.teaselspring.ports.TableWrite
import io.teaselspring.ports.describe
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.encodeToJsonElement
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = LoggerFactory.getLogger("io.teaselspring.daemon.gateway")

private val reportJson = Json { ignoreUnknownKeys = true }

@Serializable
private data class CrashReportRow(
    val requests: List<CrashedRequestRow> = emptyList(),
    val responses: Map<String, Long> = emptyMap(),
)

@Serializable
private data class CrashedRequestRow(
    @SerialName("at_ms") val atMs: Long,
    val instance: String,
    val parts: Set<String>,
)

private fun CrashReport.toRow() =
    CrashReportRow(
        requests.map {
            CrashedRequestRow(it.atMs, it.instance.value, it.parts)
        },
        responses,
    )

private fun CrashReportRow.toReport() =
    CrashReport(
        requests.map {
            CrashedRequest(it.atMs, InstanceId(it.instance), it.parts)
        },
        responses,
    )

/** Decodes the row of an entry. Throws [kotlinx.serialization.SerializationException] if it is unreadable. */
internal fun decodeCrashReport(text: String): CrashReport = reportJson.decodeFromString<CrashReportRow>(text).toReport()

/** Stores the report of the entry [instance] in [table] and applies those of the others to [quarantine]. */
internal class CrashReports(
    private val instance: InstanceId,
    private val table: TableStore,
    private val quarantine: PartQuarantine,
    private val storeNowMs: () -> Long?,
) {
    private val changed = Channel<Unit>(Channel.CONFLATED)
    private var stored = CrashReport()

    /** Whether the reports of the other entries have been read at least once. */
    var isLoaded = false
        private set

    /**
     * Replaces the reports of all other entries by [rows]. If these are not complete, because the store has lost some,
     * known reports stay, and this entry's own is stored again, as the others store theirs.
     */
    fun replaceAll(
        rows: Map<String, CrashReport?>,
        isComplete: Boolean,
    ) {
        isLoaded = true
        if (isComplete) {
            apply(quarantine.reporters.filter { it !in rows }.associateWith { null } + rows)
        } else {
            stored = CrashReport()
            apply(rows.filterKeys { it !in quarantine.reporters && it != instance.value })
        }
    }

    /** Applies the [changes] of some reports; null for one that was deleted or is unreadable. */
    fun apply(changes: Map<String, CrashReport?>) {
        val now = storeNowMs() ?: return
        val before = quarantine.quarantined
        quarantine.replaceReports(changes, now)
        quarantineChanged(before)
    }

    /** Logs a change of the quarantine since it was [before], and wakes [run] if the own report is not stored. */
    fun quarantineChanged(before: Set<Set<String>>) {
        if (quarantine.quarantined != before) {
            log.warn("event=quarantine_changed parts={} before={}", quarantine.quarantined, before)
        }
        if (quarantine.ownReport != stored) changed.trySend(Unit)
    }

    /** Stores the own report after each change, at most once in [interval]; retries after up to [maxRetryDelay]. */
    suspend fun run(
        interval: Duration = 150.milliseconds,
        maxRetryDelay: Duration = 2.seconds,
    ): Nothing {
        while (true) {
            var delay = interval
            while (quarantine.ownReport != stored) {
                delay = if (store(quarantine.ownReport)) interval else minOf(delay * 2, maxRetryDelay)
                delay(delay)
            }
            changed.receive()
        }
    }

    private suspend fun store(report: CrashReport): Boolean {
        val row = reportJson.encodeToJsonElement(report.toRow())
        return table.transaction(listOf(TableWrite(SHARED_TABLE, instance.value, ifVersion = null, row))).fold(
            {
                log.warn("event=crash_report_not_stored {}", it.describe())
                false
            },
            {
                stored = report
                log.info(
                    "event=crash_report_stored requests={} cleared={}",
                    report.requests.size,
                    report.responses.keys,
                )
                true
            },
        )
    }
}
