/*
 * Who may take memory while it is short. Bodies of running requests cannot be taken back, so an organisation that fills
 * the memory has to leave room before others come: it never gets the reserve, of which one half is kept for
 * organisations that hold no more than an equal part. Once such a one holds much, the others shrink to equal parts as
 * their requests end, because their further ones are refused until half of the memory is free.
 *
 * A body counts for the organisation of the key in the request's head, which is not checked for freshness before the
 * body has arrived. All callers without a known key count as one organisation, so made-up keys gain nothing.
 */
package io.teaselspring.daemon.gateway

import io.teaselspring.core.OrganisationId

/** The bytes of each organisation, null being all callers without a known key. */
class OrganisationBytes internal constructor(
    private val limitBytes: Long,
    private val reserveBytes: Long,
) {
    private val held = HashMap<OrganisationId?, Long>()
    private var largeHolders = 0

    fun heldBytes(organisation: OrganisationId?): Long = held[organisation] ?: 0

    /** The [count] organisations that hold most, with their bytes. */
    fun largest(count: Int): List<Pair<OrganisationId?, Long>> =
        held.toList().sortedByDescending { it.second }.take(count)

    internal fun add(
        organisation: OrganisationId?,
        count: Long,
    ) {
        val before = heldBytes(organisation)
        val after = before + count
        if (after == 0L) held -= organisation else held[organisation] = after
        largeHolders += (if (isLarge(after)) 1 else 0) - (if (isLarge(before)) 1 else 0)
    }

    /** Whether [organisation] holds much, and with [count] bytes more would hold more than an equal part. */
    internal fun isOverPart(
        organisation: OrganisationId?,
        count: Long = 0,
    ): Boolean {
        val bytes = heldBytes(organisation)
        return isLarge(bytes) && bytes + count > limitBytes / (otherLargeHolders(organisation) + 1)
    }

    /** Up to how many bytes of all organisations [organisation] may take [count] more, for a small share or another. */
    internal fun ceilingBytes(
        organisation: OrganisationId?,
        count: Long,
        isSmall: Boolean,
    ): Long {
        val isOver = isOverPart(organisation, count)
        val isAlone = otherLargeHolders(organisation) == 0
        return when {
            isSmall -> limitBytes + if (isOver) reserveBytes * 3 / 4 else reserveBytes
            isOver -> if (isAlone) limitBytes else limitBytes / 2
            else -> if (isAlone) limitBytes else limitBytes + reserveBytes / 2
        }
    }

    /** Organisations with small requests only do not reduce the parts of others. */
    private fun otherLargeHolders(organisation: OrganisationId?) =
        largeHolders - if (isLarge(heldBytes(organisation))) 1 else 0

    private fun isLarge(bytes: Long) = bytes > ByteBudget.SMALL_SHARE_BYTES
}
