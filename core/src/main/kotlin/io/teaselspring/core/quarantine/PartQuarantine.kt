/*
 * Quarantine of prompt parts that crash instances, known as queries of death. Such a part crashes each instance that
 * begins to write a response, whatever else the prompt holds, so retries and similar requests take down one instance
 * after the other. A crash implicates all requests that had no event yet, most of them innocent, and each entry sees
 * only the requests it sent itself. Entries therefore share what they saw, and look for what several crashes have in
 * common and what has had no response since.
 */
package io.teaselspring.core.quarantine

import io.teaselspring.core.InstanceId

/**
 * Limits of the quarantine. A part is quarantined after [crashes] crashes. Crashes within [mergeMs] count as one, and
 * not at all if they are those of [commonCauseInstances] or more, because a rack or a data centre that fails takes down
 * many instances at once. A crash does not count against a part with an event of a response later than [responseMs]
 * before it. Evidence is dropped after [evidenceMs], since instances get new versions. Each entry shares at most
 * [maxRequests] requests and as many responses, and remembers the responses with [maxParts] parts.
 */
public data class QuarantinePolicy(
    val crashes: Int = 3,
    val mergeMs: Long = 250,
    val commonCauseInstances: Int = 3,
    val responseMs: Long = 1_000,
    val evidenceMs: Long = 30 * 60_000,
    val maxRequests: Int = 32,
    val maxParts: Int = 4_096,
)

/**
 * The quarantine as one entry sees it. [reporter] identifies the entry's own report among those of the others. Not
 * thread-safe. Times are milliseconds of the store's clock.
 */
public class PartQuarantine(
    private val reporter: String,
    private val policy: QuarantinePolicy = QuarantinePolicy(),
) {
    private val reports = LinkedHashMap<String, CrashReport>()
    private val respondedAtMs =
        object : LinkedHashMap<String, Long>(INITIAL_SIZE, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Long>) = size > policy.maxParts
        }

    /** The latest response with a part that any report has. */
    private var sharedResponses = HashMap<String, Long>()

    /** The crashed requests that count against each part; empty while no part is suspected. */
    private var evidence = emptyMap<String, Set<CrashedRequest>>()

    /**
     * The quarantined sets of parts; a request is refused if its prompt contains all parts of one of them. A set has
     * several parts only while the same crashed requests speak against each of them.
     */
    public var quarantined: Set<Set<String>> = emptySet()
        private set

    /** The other entries whose reports are known. */
    public val reporters: Set<String> get() = reports.keys.toSet()

    /** What this entry should share with the others. */
    public var ownReport: CrashReport = CrashReport()
        private set

    /** Returns how long a request with [parts] will be refused from [nowMs] on, or null if it may be sent. */
    public fun refusedForMs(
        parts: Collection<String>,
        nowMs: Long,
    ): Long? {
        if (quarantined.isEmpty()) return null
        val matching = quarantined.firstOrNull { parts.containsAll(it) } ?: return null
        val oldest = evidence[matching.first()].orEmpty().minOfOrNull { it.atMs } ?: nowMs
        return maxOf(0, oldest + policy.evidenceMs - nowMs)
    }

    /** Whether a crash counts against one of [parts], so that a repeat may crash another instance. */
    public fun isSuspected(parts: Collection<String>): Boolean = evidence.isNotEmpty() && parts.any { it in evidence }

    /**
     * Records that [instance] crashed at [atMs] while requests with these [prompts] had no event. A crash without such
     * requests is recorded too, because it can show that several have a common cause.
     */
    public fun recordCrash(
        instance: InstanceId,
        prompts: List<Set<String>>,
        atMs: Long,
    ) {
        val suspects = prompts.map { parts -> parts.filterTo(LinkedHashSet()) { isUnproven(it, atMs) } }
        val isKnown = ownReport.requests.any { it.instance == instance && it.atMs >= atMs - policy.mergeMs }
        val added = suspects.filter { it.isNotEmpty() }.ifEmpty { listOf(emptySet<String>()).takeUnless { isKnown } }
        if (added == null) return
        ownReport =
            ownReport.copy(
                requests = newest(ownReport.requests + added.map { CrashedRequest(atMs, instance, it) }, atMs),
            )
        update(atMs)
    }

    private fun isUnproven(
        part: String,
        crashedAtMs: Long,
    ) = (respondedAtMs[part] ?: Long.MIN_VALUE) < crashedAtMs - policy.responseMs

    /** Drops first what counts against no part, then the oldest requests outside the quarantine. */
    private fun newest(
        requests: List<CrashedRequest>,
        nowMs: Long,
    ): List<CrashedRequest> {
        val recent = requests.filter { it.atMs > nowMs - policy.evidenceMs }
        if (recent.size <= policy.maxRequests) return recent
        return recent
            .sortedWith(compareByDescending<CrashedRequest> { rank(it) }.thenByDescending { it.atMs })
            .take(policy.maxRequests)
            .sortedBy { it.atMs }
    }

    private fun rank(request: CrashedRequest): Int =
        when {
            quarantined.any { request.parts.containsAll(it) } -> 2
            request.parts.any { counts(request, it) } -> 1
            else -> 0
        }

    /** Records that a response to a request with [parts] had its first event at [atMs]. */
    public fun recordResponse(
        parts: Collection<String>,
        atMs: Long,
    ) {
        parts.forEach { respondedAtMs[it] = atMs }
        if (isSuspected(parts)) update(atMs)
    }

    /**
     * Replaces the reports of entries by the stored ones; null if the row was deleted. Operators end a quarantine by
     * deleting rows, so the own report is dropped then too.
     */
    public fun replaceReports(
        changes: Map<String, CrashReport?>,
        nowMs: Long,
    ) {
        changes.forEach { (from, report) ->
            if (from == reporter) {
                // After a restart the entry takes up the evidence of its earlier process.
                if (report == null || ownReport.requests.isEmpty()) ownReport = report ?: CrashReport()
            } else if (report == null) {
                reports.remove(from)
            } else {
                reports[from] = report
            }
        }
        update(nowMs)
    }

    /** Drops evidence that is too old at [nowMs]. */
    public fun expire(nowMs: Long) {
        if (evidence.isNotEmpty()) update(nowMs)
    }

    private fun update(nowMs: Long) {
        val all = reports.values + ownReport
        val recent = all.flatMap { it.requests }.filter { it.atMs > nowMs - policy.evidenceMs }
        val implicated = LinkedHashMap<String, LinkedHashSet<CrashedRequest>>()
        withoutCommonCauses(recent).forEach { request ->
            request.parts.forEach { implicated.getOrPut(it, ::LinkedHashSet) += request }
        }
        sharedResponses = HashMap()
        all.forEach { report ->
            report.responses.forEach { (part, atMs) -> sharedResponses.merge(part, atMs, ::maxOf) }
        }
        evidence =
            implicated
                .mapValues { (part, requests) -> requests.filterTo(LinkedHashSet()) { counts(it, part) } }
                .filterValues { it.isNotEmpty() }
        quarantined = convicted()
        publishResponses(implicated)
    }

    /** An event after the crash, or shortly before it, shows that the part crashes nothing. */
    private fun counts(
        request: CrashedRequest,
        part: String,
    ): Boolean {
        val responded = maxOf(sharedResponses[part] ?: Long.MIN_VALUE, respondedAtMs[part] ?: Long.MIN_VALUE)
        return responded < request.atMs - policy.responseMs
    }

    /**
     * Shares a response only where it clears evidence that the shared ones do not clear, and only for parts near the
     * quarantine: after the loss of a data centre nearly all parts are implicated once.
     */
    private fun publishResponses(implicated: Map<String, Set<CrashedRequest>>) {
        val published = ownReport.responses.filterKeys { it in implicated }.toMutableMap()
        implicated.forEach { (part, requests) ->
            val responded = respondedAtMs[part] ?: return@forEach
            val clearsFromMs = requests.maxOf { it.atMs } - policy.responseMs
            val isCleared = (sharedResponses[part] ?: Long.MIN_VALUE) >= clearsFromMs
            if (isCleared || responded < clearsFromMs) return@forEach
            if (countCrashes(requests) >= policy.crashes - 1) published[part] = responded
        }
        if (published == ownReport.responses) return
        val newest = published.entries.sortedByDescending { it.value }.take(policy.maxRequests)
        ownReport = ownReport.copy(responses = newest.associate { it.key to it.value })
    }

    /**
     * Groups the parts that the same requests speak against. Parts whose requests are all explained by another part are
     * left out: they are the company of that part in its requests.
     */
    private fun convicted(): Set<Set<String>> {
        val groups =
            evidence
                .filterValues { requests -> countCrashes(requests) >= policy.crashes }
                .entries
                .groupBy({ it.value }, { it.key })
        return groups
            .filterKeys { requests -> groups.keys.none { it.size > requests.size && it.containsAll(requests) } }
            .values
            .mapTo(LinkedHashSet()) { it.toSet() }
    }

    private fun withoutCommonCauses(requests: List<CrashedRequest>): List<CrashedRequest> {
        val sorted = requests.sortedBy { it.atMs }
        var first = 0
        var end = 0
        return sorted.filter { request ->
            while (sorted[first].atMs < request.atMs - policy.mergeMs) first += 1
            while (end < sorted.size && sorted[end].atMs <= request.atMs + policy.mergeMs) end += 1
            val together = sorted.subList(first, end).asSequence().distinctBy { it.instance }
            together.take(policy.commonCauseInstances).count() < policy.commonCauseInstances
        }
    }

    private fun countCrashes(requests: Set<CrashedRequest>): Int {
        var count = 0
        var lastMs = Long.MIN_VALUE / 2
        requests.map { it.atMs }.sorted().forEach { atMs ->
            if (atMs - lastMs > policy.mergeMs) {
                count += 1
                lastMs = atMs
            }
        }
        return count
    }

    private companion object {
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
    }
}
