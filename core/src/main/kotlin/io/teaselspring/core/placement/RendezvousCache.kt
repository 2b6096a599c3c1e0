/*
 * Results of rendezvous hashing that a queue needs in each dispatch. They depend only on the ids of the instances,
 * which seldom change, while a dispatch takes place for each request, and every few milliseconds while requests wait.
 */
package io.teaselspring.core.placement

import io.teaselspring.core.InstanceId

/** The partition and the preferred instances of one queue. Not thread-safe. */
internal class RendezvousCache {
    private var partitionedIds = emptyList<InstanceId>()
    private var groups = 0
    private var shares = GroupShares.FIXED
    private var groupByInstance = emptyMap<InstanceId, Int>()
    private val preferredByPool = HashMap<PoolKey, PreferredInstances>()

    /** The result of [partitionInstances]. */
    fun partition(
        ids: List<InstanceId>,
        groups: Int,
        shares: GroupShares = GroupShares.FIXED,
    ): Map<InstanceId, Int> {
        if (groups != this.groups || shares != this.shares || ids != partitionedIds) {
            groupByInstance = partitionInstances(ids, groups, shares)
            partitionedIds = ids
            this.groups = groups
            this.shares = shares
        }
        return groupByInstance
    }

    /** The preferred instances of the parts of the requests of [pool], which [instances] serve. */
    fun preferredInstances(
        pool: PoolKey,
        instances: List<InstanceView>,
    ): PreferredInstances {
        val known = preferredByPool[pool]
        if (known != null && known.isFor(instances)) return known
        // Restrictions to versions that no longer serve are not asked for again.
        if (preferredByPool.size >= MAX_POOLS) preferredByPool.clear()
        return PreferredInstances(
            instances.map { it.id },
            instances.map { it.speed },
        ).also { preferredByPool[pool] = it }
    }

    private companion object {
        const val MAX_POOLS = 256
    }
}

/** The preferred instances among [ids], which have [speeds], by shared part. */
internal class PreferredInstances(
    private val ids: List<InstanceId>,
    private val speeds: List<Double>,
) {
    private val positionByPart = HashMap<String, Int>()

    fun isFor(instances: List<InstanceView>): Boolean =
        ids.size == instances.size &&
            ids.indices.all { ids[it] == instances[it].id && speeds[it] == instances[it].speed }

    /** The position of the instance that comes first in the rendezvous order of [part], or null without instances. */
    fun positionFor(part: String): Int? {
        if (ids.isEmpty()) return null
        if (positionByPart.size >= MAX_PARTS) positionByPart.clear()
        return positionByPart.getOrPut(part) { ids.indices.maxBy { rendezvousScore(part, ids[it], speeds[it]) } }
    }

    private companion object {
        /** Bounds the memory for parts that are no longer in use. */
        const val MAX_PARTS = 4_096
    }
}
