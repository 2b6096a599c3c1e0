/*
 * Deduplication of attempt ids: an agent runs an attempt at most once, however often its offer is repeated. Ids that
 * were cancelled before their offer arrived are recorded too.
 */
package io.teaselspring.core.admission

/** Keeps attempt ids for [windowMs]; expired ids are removed when another one is added. */
internal class AttemptDeduplicator(
    private val windowMs: Long,
) {
    private val seen = HashSet<AttemptId>()
    private val byAge = ArrayDeque<Pair<AttemptId, Long>>()

    val size: Int get() = seen.size

    /** Records [id] and returns false if it is a duplicate. */
    fun add(
        id: AttemptId,
        nowMs: Long,
    ): Boolean {
        while (byAge.isNotEmpty() && byAge.first().second + windowMs < nowMs) seen.remove(byAge.removeFirst().first)
        val added = seen.add(id)
        if (added) byAge.addLast(id to nowMs)
        return added
    }
}
