/*
 * Selection of the work to evict or preempt for a request of a higher tier: queued work first, because evicting it
 * wastes no tokens, then running work. Work of an equal or higher tier is never displaced, and running work only if it
 * is preemptible.
 */
package io.teaselspring.core.admission

/** The queued attempt to evict for a request of [tier], or null. Attempts that have started are never evicted. */
internal fun evictionCandidate(
    classes: ClassStates,
    tier: Int,
): Attempt? =
    classes.tiers
        .descendingMap()
        .headMap(tier)
        .values
        .firstNotNullOfOrNull { states ->
            states
                .filter { it.neverStarted.isNotEmpty() }
                .maxByOrNull { it.queued }
                ?.neverStarted
                ?.last()
        }

/** Running attempts that may be preempted for a request of [tier]: lowest tier first, then latest start first. */
internal fun preemptionCandidates(
    running: Collection<Attempt>,
    tier: Int,
): List<Attempt> =
    running
        .filter { it.phase == Phase.RUNNING && it.request.tier > tier && it.request.preemptible }
        .sortedWith(compareBy({ -it.request.tier }, { -it.startedAtMs }, { -it.sequence }))
