/*
 * Estimate of the prefix cache of an instance. Instances do not report its content; an entry knows what it sent there
 * itself, and that other entries send a shared part to the same preferred instance.
 */
package io.teaselspring.core.placement

/** The shared parts that one entry sent to one instance lately, the least recently used dropped first. */
public class PrefixCacheEstimate(
    private val maxParts: Int = 512,
) {
    private val parts =
        object : LinkedHashMap<String, Boolean>(INITIAL_SIZE, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Boolean>) = size > maxParts
        }

    /**
     * Tokens of [prompt] that are probably not in the cache. A shared part that this entry has not sent there counts in
     * full, or with [UNCACHED_FRACTION_AT_PREFERRED] of its tokens where the instance [isPreferred]; the last part is
     * always the request's own.
     */
    public fun uncachedTokens(
        prompt: List<PromptPart>,
        isPreferred: Boolean,
    ): Long {
        val unknown = prompt.dropLast(1).filter { it.id !in parts }.sumOf { it.tokens }
        val uncachedFraction = if (isPreferred) UNCACHED_FRACTION_AT_PREFERRED else 1.0
        return (unknown * uncachedFraction).toLong() + (prompt.lastOrNull()?.tokens ?: 0)
    }

    /** Records that [prompt] was sent to the instance. */
    public fun recordPrompt(prompt: List<PromptPart>) {
        prompt.dropLast(1).forEach { parts[it.id] = true }
    }

    private companion object {
        /**
         * Fraction of a shared part that its preferred instance has to prefill, if only other entries can have sent it.
         */
        const val UNCACHED_FRACTION_AT_PREFERRED = 0.3
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
    }
}
