/*
 * Record of the attempt ids that an agent has seen or that were cancelled before they arrived. It makes the agent run
 * an attempt at most once however often an offer is repeated.
 */
package io.teaselspring.core.admission

/** Remembers attempt ids for [keepMs]; older ones are dropped when new ones come in. */
internal class AttemptRecord(
    private val keepMs: Long,
) {
    private val seen = HashSet<AttemptId>()
    private val byAge = ArrayDeque<Pair<AttemptId, Long>>()

    val size: Int get() = seen.size

    /** Records [id] and returns false if it was known already. */
    fun add(
        id: AttemptId,
        nowMs: Long,
    ): Boolean {
        while (byAge.isNotEmpty() && byAge.first().second + keepMs < nowMs) seen.remove(byAge.removeFirst().first)
        val added = seen.add(id)
        if (added) byAge.addLast(id to nowMs)
        return added
    }
}
