/*
 * Shares of the instances of an upstream that its latency groups have. Shares are fixed, or follow the demand of the
 * groups where the upstream is adaptive.
 */
package io.teaselspring.core.placement

/** The shares, between 0 and 1, of the groups from group 0 on. The last group of an upstream has the rest. */
public data class GroupShares(
    val fractions: List<Double>,
) {
    /** The share of group [index], which is not the last one; that of [INITIAL] if none is stated for it. */
    public fun of(index: Int): Double = fractions.getOrNull(index) ?: PARTITION_FRACTIONS.first()

    /** The positions at which the groups but the last of [groups] end, in the partition of [instances] instances. */
    internal fun ends(
        instances: Int,
        groups: Int,
    ): List<Int> {
        val ends = ArrayList<Int>(groups - 1)
        for (index in 0 until groups - 1) {
            val size = maxOf(1, Math.round(instances * of(index)).toInt())
            // Each later group keeps an instance, because the last one cannot overflow to any other.
            ends += minOf((ends.lastOrNull() ?: 0) + size, instances - (groups - 1 - index))
        }
        return ends
    }

    public companion object {
        /** The shares where they do not follow the demand. */
        public val FIXED: GroupShares = GroupShares(PARTITION_FRACTIONS)

        /**
         * The shares of an adaptive upstream while its demand is unknown. They are small because a group that is too
         * small overflows to later ones, while the last group cannot use the instances of a group that is too large.
         * No group but the last has more than the fixed share of the first.
         */
        public val INITIAL: GroupShares = GroupShares(emptyList())
    }
}
