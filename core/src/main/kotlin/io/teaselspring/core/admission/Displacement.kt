/*
 * Which work gives way to a request of a higher tier: queued work first, because nothing is lost with it, then
 * running work that may be stopped. Work of an equal or higher tier never does, nor does running work that is not
 * preemptible.
 */
package io.teaselspring.core.admission

/** The queued attempt to evict for a request of [tier], or null. Attempts that have run are never evicted. */
internal fun evictable(
    classes: ClassShares,
    tier: Int,
): Attempt? =
    classes.tiers
        .descendingMap()
        .headMap(tier)
        .values
        .firstNotNullOfOrNull { shares ->
            shares
                .filter { it.fresh.isNotEmpty() }
                .maxByOrNull { it.queued }
                ?.fresh
                ?.last()
        }

/** Running attempts that may be preempted for a request of [tier]: lowest tier first, then the youngest. */
internal fun preemptable(
    running: Collection<Attempt>,
    tier: Int,
): List<Attempt> =
    running
        .filter { it.phase == Phase.RUNNING && it.request.tier > tier && it.request.preemptible }
        .sortedWith(compareBy({ -it.request.tier }, { -it.startedAtMs }, { -it.sequence }))
