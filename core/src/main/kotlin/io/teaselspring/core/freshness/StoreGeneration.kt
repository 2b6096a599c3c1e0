/*
 * The generation of the store, which rises each time the store is restored from an older copy. A restore undoes writes
 * that were acknowledged, and gives row versions out again, so a version, an absent row or a stored fact is known to
 * hold within one generation only.
 */
package io.teaselspring.core.freshness

/** The generation of the store as its responses name it; null before the first one. Not thread-safe. */
public class StoreGeneration {
    /** The newest generation that a response has named. */
    public var current: Long? = null
        private set
    private val listeners = ArrayList<() -> Unit>()

    /** Calls [listener] after each restore that a response shows, before the response is used. */
    public fun onRestored(listener: () -> Unit) {
        listeners += listener
    }

    /**
     * Records the [generation] of a response, null if it names none. Returns false if it is an earlier one: a restore
     * has overtaken the response, and what it says no longer holds.
     */
    public fun observe(generation: Long?): Boolean {
        val before = current
        if (generation == null) return true
        if (before != null && generation < before) return false
        current = generation
        if (before != null && generation > before) listeners.forEach { it() }
        return true
    }
}
