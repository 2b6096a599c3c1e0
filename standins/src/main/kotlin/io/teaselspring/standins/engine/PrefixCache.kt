/*
 * The prompt-prefix cache: hashes of prompt blocks in limited memory, the least recently used evicted first.
 */
package io.teaselspring.standins.engine

/** Holds at most [capacity] blocks. */
internal class PrefixCache(
    private val capacity: Int,
) {
    private val blocks =
        object : LinkedHashMap<Long, Unit>(16, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<Long, Unit>): Boolean = size > capacity
        }

    /** The number of leading [prompt] blocks already held; afterwards all of them are, as far as they fit. */
    fun use(prompt: List<Long>): Int {
        val hits = prompt.takeWhile { it in blocks }.size
        // From the end, so that a long prompt loses its last blocks first and its prefix stays usable.
        prompt.asReversed().forEach { blocks[it] = Unit }
        return hits
    }
}
