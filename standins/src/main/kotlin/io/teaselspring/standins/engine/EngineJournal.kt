/*
 * The requests an engine has seen, for checkers.
 */
package io.teaselspring.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Older requests are dropped beyond this number, which bounds the journal to some ten megabytes. */
private const val MAX_ENTRIES = 20_000

/** One request. [outcome] is `open`, `completed`, `cancelled`, `cut` or `refused`. */
@Serializable
internal data class EngineJournalEntry(
    val seq: Long,
    @SerialName("received_at_ms") val receivedAtMs: Long,
    @SerialName("request_id") val requestId: String?,
    val headers: Map<String, String>,
    val model: String,
    val priority: Int,
    @SerialName("first_event") val firstEvent: Int,
    val outcome: String = "open",
    @SerialName("events_sent") val eventsSent: Int = 0,
    @SerialName("prompt_tokens") val promptTokens: Int = 0,
    @SerialName("cached_tokens") val cachedTokens: Int = 0,
)

/** The journal as it is answered; [dropped] entries are no longer held. */
@Serializable
internal data class EngineJournalPage(
    val entries: List<EngineJournalEntry>,
    val dropped: Long,
)

internal class EngineJournal {
    private val entries = LinkedHashMap<Long, EngineJournalEntry>()
    private var seen = 0L

    /** Adds the entry that [create] makes for the next sequence number. */
    @Synchronized
    fun open(create: (seq: Long) -> EngineJournalEntry): EngineJournalEntry {
        val entry = create(seen++)
        entries[entry.seq] = entry
        if (entries.size > MAX_ENTRIES) entries.remove(entries.keys.first())
        return entry
    }

    @Synchronized
    fun close(entry: EngineJournalEntry) {
        if (entry.seq in entries) entries[entry.seq] = entry
    }

    @Synchronized
    fun page(): EngineJournalPage = EngineJournalPage(entries.values.toList(), seen - entries.size)
}
